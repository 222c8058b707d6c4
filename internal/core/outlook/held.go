package outlook

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// maxHistory is how many changes of one prefix are kept for peers that follow them here; a peer that is further behind
// gets all values.
const maxHistory = 512

// held keeps the published values as they were read, for peers that do not read them themselves. The control goroutine
// changes it, and the goroutines that answer peers read it.
type held struct {
	mu       sync.Mutex
	prefixes map[registry.Prefix]*values
}

// values are those of one prefix.
type values struct {
	at    unit.Revision
	items map[registry.Key]registry.Item
	// heard is when the registry was last known to hold nothing newer than at.
	heard time.Time
	// history are the last changes, the oldest first, all later than since.
	history []registry.Item
	since   unit.Revision
	// changed is closed at the next change.
	changed chan struct{}
}

func newHeld() *held {
	return &held{prefixes: make(map[registry.Prefix]*values)}
}

func (h *held) values(prefix registry.Prefix) *values {
	v := h.prefixes[prefix]
	if v == nil {
		v = &values{changed: make(chan struct{})}
		h.prefixes[prefix] = v
	}
	return v
}

// replace takes all values of a prefix.
func (h *held) replace(now time.Time, e registry.Listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.values(e.Prefix)
	v.at, v.since = e.Revision, e.Revision
	v.history = nil
	v.items = make(map[registry.Key]registry.Item, len(e.Items))
	for _, i := range e.Items {
		v.items[i.Key] = i
	}
	if !e.FromPeer {
		v.heard = now
	}
	v.wake()
}

// change takes the changes of a prefix.
func (h *held) change(now time.Time, e registry.Changed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.values(e.Prefix)
	v.at = max(v.at, e.Revision)
	v.heard = now.Add(-e.Age)
	if len(e.Items) == 0 {
		return
	}
	for _, i := range e.Items {
		v.take(i)
	}
	v.wake()
}

// take takes one change.
func (v *values) take(i registry.Item) {
	if i.Deleted {
		delete(v.items, i.Key)
	} else if v.items != nil {
		v.items[i.Key] = i
	}
	v.history = append(v.history, i)
	if len(v.history) > maxHistory {
		v.since = v.history[0].Revision
		v.history = slices.Delete(v.history, 0, 1)
	}
}

func (v *values) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// listing gives all values of a prefix.
func (h *held) listing(prefix registry.Prefix) registry.Listing {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.values(prefix)
	return registry.Listing{Revision: v.at, Items: slices.Collect(maps.Values(v.items))}
}

// changes gives what is newer than a revision, as soon as there is something or ctx ends.
func (h *held) changes(ctx context.Context, prefix registry.Prefix, after unit.Revision) registry.Update {
	for {
		news, changed := h.since(prefix, after)
		if len(news.Items) > 0 || news.Full {
			return news
		}
		select {
		case <-changed:
		case <-ctx.Done():
			news, _ = h.since(prefix, after)
			return news
		}
	}
}

// since gives what is newer than a revision now, and a channel that is closed at the next change.
func (h *held) since(prefix registry.Prefix, after unit.Revision) (registry.Update, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.values(prefix)
	news := registry.Update{Listing: registry.Listing{Revision: v.at}, ConfirmedAt: v.heard}
	switch {
	case v.at <= after:
	case after < v.since:
		news.Full = true
		news.Items = slices.Collect(maps.Values(v.items))
	default:
		for _, i := range v.history {
			if i.Revision > after {
				news.Items = append(news.Items, i)
			}
		}
	}
	return news, v.changed
}
