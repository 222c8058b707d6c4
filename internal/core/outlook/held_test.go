package outlook

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func put(key registry.Key, revision unit.Revision) registry.Item {
	return registry.Item{Key: key, Revision: revision}
}

func end(key registry.Key, revision unit.Revision) registry.Item {
	return registry.Item{Key: key, Revision: revision, Deleted: true}
}

// TestNews checks what a peer that follows this VM is told.
func TestNews(t *testing.T) {
	listed := registry.Listed{Prefix: "p/", Revision: 5, Items: []registry.Item{put("p/a", 3), put("p/b", 5)}}
	tests := []struct {
		name    string
		changes []registry.Changed
		after   unit.Revision
		want    []string
		whole   bool
		at      unit.Revision
	}{
		{"nothing known before", nil, 0, []string{"p/a 3", "p/b 5"}, true, 5},
		{"as much known", nil, 5, nil, false, 5},
		{"more known", nil, 7, nil, false, 5},
		{"a change", []registry.Changed{{Revision: 7, Items: []registry.Item{put("p/c", 7)}}}, 5, []string{"p/c 7"}, false, 7},
		{"an end", []registry.Changed{{Revision: 7, Items: []registry.Item{end("p/a", 7)}}}, 5, []string{"p/a 7 ended"}, false, 7},
		{"the last of several", []registry.Changed{
			{Revision: 7, Items: []registry.Item{put("p/c", 7)}}, {Revision: 8, Items: []registry.Item{end("p/c", 8)}},
		}, 7, []string{"p/c 8 ended"}, false, 8},
		{"an answer without a change", []registry.Changed{{Revision: 9}}, 5, nil, false, 9},
		{"too far behind", []registry.Changed{{Revision: 7, Items: []registry.Item{put("p/c", 7)}}}, 4, []string{"p/a 3", "p/b 5", "p/c 7"}, true, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHeld()
			h.replace(start, listed)
			for _, c := range tt.changes {
				c.Prefix = "p/"
				h.change(start, c)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			news := h.changes(ctx, "p/", tt.after)
			var got []string
			for _, i := range news.Items {
				line := fmt.Sprint(i.Key, " ", i.Revision)
				if i.Deleted {
					line += " ended"
				}
				got = append(got, line)
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, news.Full, tt.whole)
			assert.Equal(t, news.Revision, tt.at)
			assert.Equal(t, news.ConfirmedAt, start)
		})
	}
}

// TestNewsOfManyChanges checks that a peer behind the kept history gets all values.
func TestNewsOfManyChanges(t *testing.T) {
	h := newHeld()
	h.replace(start, registry.Listed{Prefix: "p/", Revision: 1})
	for i := range unit.Revision(maxHistory + 10) {
		h.change(start, registry.Changed{Prefix: "p/", Revision: i + 2, Items: []registry.Item{put("p/a", i+2)}})
	}
	tests := []struct {
		name  string
		after unit.Revision
		whole bool
		items int
	}{
		{"behind the history", 2, true, 1},
		{"within the history", maxHistory, false, 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			news, _ := h.since("p/", tt.after)
			assert.Equal(t, news.Full, tt.whole)
			assert.Equal(t, len(news.Items), tt.items)
		})
	}
}

// TestNewsWait checks that a waiting peer is told at once.
func TestNewsWait(t *testing.T) {
	h := newHeld()
	h.replace(start, registry.Listed{Prefix: "p/", Revision: 1})
	got := make(chan registry.Update)
	go func() { got <- h.changes(context.Background(), "p/", 1) }()
	h.change(start, registry.Changed{Prefix: "p/", Revision: 2, Items: []registry.Item{put("p/a", 2)}})
	assert.Equal(t, len((<-got).Items), 1)
}
