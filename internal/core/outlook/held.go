package outlook

import (
	"maps"
	"slices"
	"sync"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// held keeps the published values as they were read, for peers that cannot read them. The control goroutine changes
// it, and the goroutines that answer peers read it.
type held struct {
	mu       sync.Mutex
	prefixes map[registry.Prefix]*values
}

// values are those of one prefix.
type values struct {
	at    unit.Revision
	items map[registry.Key]registry.Item
}

func newHeld() *held {
	return &held{prefixes: make(map[registry.Prefix]*values)}
}

// replace takes all values of a prefix.
func (h *held) replace(e registry.Listed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &values{at: e.At, items: make(map[registry.Key]registry.Item, len(e.Items))}
	for _, i := range e.Items {
		v.items[i.Key] = i
	}
	h.prefixes[e.Prefix] = v
}

// change takes the changes of a prefix.
func (h *held) change(e registry.Changed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.prefixes[e.Prefix]
	if v == nil {
		return
	}
	v.at = max(v.at, e.At)
	for _, i := range e.Items {
		if i.Deleted {
			delete(v.items, i.Key)
			continue
		}
		v.items[i.Key] = i
	}
}

// listing gives all values of a prefix.
func (h *held) listing(prefix registry.Prefix) registry.Listing {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.prefixes[prefix]
	if v == nil {
		return registry.Listing{}
	}
	return registry.Listing{At: v.at, Items: slices.Collect(maps.Values(v.items))}
}
