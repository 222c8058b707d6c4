package discovery

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

// at returns a position of the first era.
func at(revision unit.Revision) unit.Position {
	return unit.Position{Revision: revision}
}

func put(key registry.Key, revision unit.Revision) registry.Item {
	return registry.Item{Position: at(revision), Key: key}
}

func deletion(key registry.Key, revision unit.Revision) registry.Item {
	return registry.Item{Position: at(revision), Key: key, Deleted: true}
}

// TestChangesSince checks the update that a peer gets: nothing, the changes after its revision, or a full listing if it
// is older than the history.
func TestChangesSince(t *testing.T) {
	listed := registry.Listed{Position: at(5), Prefix: "p/", Items: []registry.Item{put("p/a", 3), put("p/b", 5)}}
	tests := []struct {
		name     string
		changes  []registry.Changed
		after    unit.Revision
		want     []string
		full     bool
		revision unit.Revision
	}{
		{"peer without values", nil, 0, []string{"p/a 3", "p/b 5"}, true, 5},
		{"peer up to date", nil, 5, nil, false, 5},
		{"peer ahead", nil, 7, nil, false, 5},
		{"one put", []registry.Changed{{Position: at(7), Items: []registry.Item{put("p/c", 7)}}}, 5, []string{"p/c 7"}, false, 7},
		{
			"one deletion",
			[]registry.Changed{{Position: at(7), Items: []registry.Item{deletion("p/a", 7)}}},
			5,
			[]string{"p/a 7 deleted"},
			false, 7,
		},
		{"last of two changes", []registry.Changed{
			{Position: at(7), Items: []registry.Item{put("p/c", 7)}}, {Position: at(8), Items: []registry.Item{deletion("p/c", 8)}},
		}, 7, []string{"p/c 8 deleted"}, false, 8},
		{"new revision without a change", []registry.Changed{{Position: at(9)}}, 5, nil, false, 9},
		{
			"peer older than the history",
			[]registry.Changed{{Position: at(7), Items: []registry.Item{put("p/c", 7)}}},
			4,
			[]string{"p/a 3", "p/b 5", "p/c 7"},
			true, 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cache := newRelayCache()
			cache.replace(start, listed)
			for _, c := range tt.changes {
				c.Prefix = "p/"
				cache.applyChanges(start, c)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			update := cache.awaitChanges(ctx, "p/", registry.Cursor{Position: at(tt.after)})
			var got []string
			for _, i := range update.Items {
				text := fmt.Sprint(i.Key, " ", i.Revision)
				if i.Deleted {
					text += " deleted"
				}
				got = append(got, text)
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, update.Full, tt.full)
			assert.Equal(t, update.Revision, tt.revision)
			assert.Equal(t, update.ConfirmedAt, start)
		})
	}
}

// TestChangesSinceRestore checks that a peer's revision is not looked up in the history of another era.
func TestChangesSinceRestore(t *testing.T) {
	tests := []struct {
		name  string
		after unit.Position
		want  []string
		full  bool
	}{
		{"peer from before the restore", at(9), []string{"p/a 3", "p/c 7"}, true},
		{"peer from before the restore, at a revision given out again", at(7), []string{"p/a 3", "p/c 7"}, true},
		{"peer from before the restore, at the restored revision", at(4), []string{"p/a 3", "p/c 7"}, true},
		{"peer at the restored revision", unit.Position{Era: 1, Revision: 4}, []string{"p/c 7"}, false},
		{"peer that has not listed since the restore", unit.Position{Era: 1}, []string{"p/a 3", "p/c 7"}, true},
		{"peer up to date", unit.Position{Era: 1, Revision: 7}, nil, false},
		{"peer that knows of a later restore", unit.Position{Era: 2, Revision: 3}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cache := newRelayCache()
			cache.replace(start, registry.Listed{Position: at(9), Prefix: "p/", Items: []registry.Item{put("p/a", 3), put("p/b", 9)}})
			cache.replace(start, registry.Listed{
				Position: unit.Position{Era: 1, Revision: 4}, Prefix: "p/", Items: []registry.Item{put("p/a", 3)},
			})
			cache.applyChanges(start, registry.Changed{
				Position: unit.Position{Era: 1, Revision: 7}, Prefix: "p/", Items: []registry.Item{put("p/c", 7)},
			})
			update, _ := cache.changesSince("p/", registry.Cursor{Position: tt.after})
			var got []string
			for _, i := range update.Items {
				got = append(got, fmt.Sprint(i.Key, " ", i.Revision))
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, update.Full, tt.full)
			assert.Equal(t, update.Position, unit.Position{Era: 1, Revision: 7})
		})
	}
}

// TestHistoryIsBounded checks that the history is bounded and that a peer older than it gets a full listing.
func TestHistoryIsBounded(t *testing.T) {
	cache := newRelayCache()
	cache.replace(start, registry.Listed{Position: at(1), Prefix: "p/"})
	for i := range unit.Revision(maxHistory + 10) {
		cache.applyChanges(start, registry.Changed{Position: at(i + 2), Prefix: "p/", Items: []registry.Item{put("p/a", i+2)}})
	}
	tests := []struct {
		name  string
		after unit.Revision
		full  bool
		items int
	}{
		{"older than the history", 2, true, 1},
		{"within the history", maxHistory, false, 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			update, _ := cache.changesSince("p/", registry.Cursor{Position: at(tt.after)})
			assert.Equal(t, update.Full, tt.full)
			assert.Equal(t, len(update.Items), tt.items)
		})
	}
}

// TestAwaitChanges checks that a change wakes a waiting peer.
func TestAwaitChanges(t *testing.T) {
	cache := newRelayCache()
	cache.replace(start, registry.Listed{Position: at(1), Prefix: "p/"})
	got := make(chan registry.Update)
	go func() { got <- cache.awaitChanges(context.Background(), "p/", registry.Cursor{Position: at(1)}) }()
	cache.applyChanges(start, registry.Changed{Position: at(2), Prefix: "p/", Items: []registry.Item{put("p/a", 2)}})
	assert.Equal(t, len((<-got).Items), 1)
}
