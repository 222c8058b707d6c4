package discovery

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// TestOfferedTableReachesFollowers guards against a follower that keeps a restored table after a peer's offer of a newer one.
func TestOfferedTableReachesFollowers(t *testing.T) {
	restored := unit.Position{Era: 1, Revision: 4}
	tests := []struct {
		name  string
		after registry.Cursor
	}{
		{"follows after the offer", registry.Cursor{}},
		{"has followed before the offer", registry.Cursor{Position: restored}},
		{"has followed a VM with another offer", registry.Cursor{Position: restored, Edition: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(&strings.Builder{})
			s.onListed(start, registry.Listed{Position: restored, Prefix: "table", Items: []registry.Item{table(restored, "6")}})
			s.onOffered(start, registry.Offered{Prefix: "table", Items: []registry.Item{table(at(9), "7")}})
			update, _ := s.cache.changesSince("table", tt.after)
			assert.Equal(t, len(update.Items), 1)
			assert.Equal(t, string(update.Items[0].Value), "7")
		})
	}
}

// TestOfferedTableWakesFollowers guards against a follower that gets an offered table only with the next change.
func TestOfferedTableWakesFollowers(t *testing.T) {
	restored := unit.Position{Era: 1, Revision: 4}
	s := newState(&strings.Builder{})
	s.onListed(start, registry.Listed{Position: restored, Prefix: "table", Items: []registry.Item{table(restored, "6")}})
	_, changed := s.cache.changesSince("table", registry.Cursor{Position: restored})
	s.onOffered(start, registry.Offered{Prefix: "table", Items: []registry.Item{table(at(9), "7")}})
	select {
	case <-changed:
	default:
		t.Fatal("not woken")
	}
}

// TestOfferedTableIsSentOnce guards against a follower that reads an offered table again and again without a pause.
func TestOfferedTableIsSentOnce(t *testing.T) {
	restored := unit.Position{Era: 1, Revision: 4}
	offer := registry.Offered{Prefix: "table", Items: []registry.Item{table(at(9), "7")}}
	tests := []struct {
		name    string
		edition func(update registry.Update) registry.Edition
	}{
		{"same release", func(update registry.Update) registry.Edition { return update.Edition }},
		{"earlier release", func(registry.Update) registry.Edition { return registry.EditionUnknown }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(&strings.Builder{})
			s.onListed(start, registry.Listed{Position: restored, Prefix: "table", Items: []registry.Item{table(restored, "6")}})
			s.onOffered(start, offer)
			update, _ := s.cache.changesSince("table", registry.Cursor{})
			again, _ := s.cache.changesSince("table", registry.Cursor{Position: update.Position, Edition: tt.edition(update)})
			assert.Assert(t, !again.Full)
			assert.Equal(t, len(again.Items), 0)
		})
	}
}
