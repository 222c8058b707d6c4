package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// maxHistory is the number of changes kept per prefix for peers that follow this VM. A peer that is further behind gets
// a full listing instead.
const maxHistory = 512

// relayCache keeps the published values as they were read from the registry, for peers that do not read it themselves.
// The control goroutine writes it; the goroutines that answer peers read it.
type relayCache struct {
	mu       sync.Mutex
	prefixes map[registry.Prefix]*prefixCache
}

// prefixCache holds the values of one prefix. relayCache.mu guards it.
type prefixCache struct {
	position unit.Position
	items    map[registry.Key]registry.Item
	// confirmedAt is when the registry was last known to hold nothing newer than position.
	confirmedAt time.Time
	// history holds the last changes of the era of position, oldest first, all later than historyStart.
	history      []registry.Item
	historyStart unit.Revision
	// edition changes with each substitute. It is unlikely to be that of another VM.
	edition registry.Edition
	// changed is closed at the next change.
	changed chan struct{}
}

func newRelayCache() *relayCache {
	return &relayCache{prefixes: make(map[registry.Prefix]*prefixCache)}
}

// getOrCreate returns the cache of a prefix, empty if nothing is known of it yet. The caller holds mu.
func (c *relayCache) getOrCreate(prefix registry.Prefix) *prefixCache {
	p := c.prefixes[prefix]
	if p == nil {
		p = &prefixCache{changed: make(chan struct{})}
		c.prefixes[prefix] = p
	}
	return p
}

// replace replaces all values of a prefix by a full listing and drops the history. A listing from a peer does not
// confirm that the registry holds nothing newer.
func (c *relayCache) replace(now time.Time, e registry.Listed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.getOrCreate(e.Prefix)
	p.position, p.historyStart = e.Position, e.Revision
	p.history = nil
	p.items = make(map[registry.Key]registry.Item, len(e.Items))
	for _, i := range e.Items {
		p.items[i.Key] = i
	}
	if !e.FromPeer {
		p.confirmedAt = now
	}
	p.wake()
}

// applyChanges applies the changes of a prefix and wakes the waiting peers. Without items it only records how recent
// the values are.
func (c *relayCache) applyChanges(now time.Time, e registry.Changed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.getOrCreate(e.Prefix)
	if e.After(p.position) {
		p.position = e.Position
	}
	p.confirmedAt = now.Add(-e.Age)
	if len(e.Items) == 0 {
		return
	}
	for _, i := range e.Items {
		p.apply(i)
	}
	p.wake()
}

// substitute replaces the value of the item's key, or removes it for a deleted item, and begins a new edition, of which
// each peer gets a full listing. An item without a position gets the present one.
func (c *relayCache) substitute(now time.Time, prefix registry.Prefix, item registry.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.getOrCreate(prefix)
	if p.items == nil {
		return
	}
	if item.Position == (unit.Position{}) {
		item.Position = p.position
	}
	if item.Deleted {
		delete(p.items, item.Key)
	} else {
		p.items[item.Key] = item
	}
	p.edition = registry.Edition(now.UnixNano())
	p.wake()
}

// apply applies one change to the values and appends it to the history.
func (p *prefixCache) apply(i registry.Item) {
	if i.Deleted {
		delete(p.items, i.Key)
	} else if p.items != nil {
		p.items[i.Key] = i
	}
	p.history = append(p.history, i)
	if len(p.history) > maxHistory {
		p.historyStart = p.history[0].Revision
		p.history = slices.Delete(p.history, 0, 1)
	}
}

// wake wakes the goroutines that wait for a change.
func (p *prefixCache) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// listing returns all values of a prefix, with revision 0 if nothing is known of it.
func (c *relayCache) listing(prefix registry.Prefix) registry.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.getOrCreate(prefix)
	return registry.Listing{Position: p.position, Items: slices.Collect(maps.Values(p.items))}
}

// awaitChanges waits until there is something newer than a cursor or ctx ends, and returns what is newer, which may
// be nothing.
func (c *relayCache) awaitChanges(ctx context.Context, prefix registry.Prefix, after registry.Cursor) registry.Update {
	for {
		update, changed := c.changesSince(prefix, after)
		if len(update.Items) > 0 || update.Full {
			return update
		}
		select {
		case <-changed:
		case <-ctx.Done():
			update, _ = c.changesSince(prefix, after)
			return update
		}
	}
}

// changesSince returns what is newer than a cursor now, and a channel that is closed at the next change. The update is a
// full listing if the history does not reach back to its position, or if there is a newer edition.
func (c *relayCache) changesSince(prefix registry.Prefix, after registry.Cursor) (registry.Update, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.getOrCreate(prefix)
	update := registry.Update{
		Listing: registry.Listing{Position: p.position}, Edition: p.edition, ConfirmedAt: p.confirmedAt,
	}
	substituted := p.edition != 0 && after.Edition != registry.EditionUnknown && after.Edition != p.edition
	switch {
	case after.After(p.position):
	case substituted:
		update.Full = true
		update.Items = slices.Collect(maps.Values(p.items))
	case after.Position == p.position:
	case after.Era != p.position.Era || after.Revision < p.historyStart:
		update.Full = true
		update.Items = slices.Collect(maps.Values(p.items))
	default:
		for _, i := range p.history {
			if i.Revision > after.Revision {
				update.Items = append(update.Items, i)
			}
		}
	}
	return update, p.changed
}
