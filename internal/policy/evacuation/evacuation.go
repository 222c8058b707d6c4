// Package evacuation decides which data centres are evacuated: no request may be sent to their endpoints. Operators
// publish an order for a data centre in the registry and remove it to take it back.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// holdTime is how long after a restore of the registry an order stands that the registry's copy lacks. Only operators, who
// have to notice it, can say whether it is still meant. An order that the copy has counts, also if it was taken back since:
// its revision may have been given out again, for a new one.
const holdTime = 10 * time.Minute

// Order is an order to evacuate a data centre, as it was read.
type Order struct {
	Centre unit.CentreName
	// Position is where the order was last written.
	unit.Position
	// Held marks an order that the registry has lost in a restore and another VM holds on to. It has no revision.
	Held bool
}

// Change is the beginning or the end of an evacuation.
type Change struct {
	Order
	Evacuated bool
	// Known is for how long this VM has known an order that ended.
	Known time.Duration
}

// entry is what is known of the order for one data centre.
type entry struct {
	evacuated bool
	// changed is the position of the last write or removal.
	changed unit.Position
	since   time.Time
	// heldUntil is the end of the time for which the order stands against a restored registry, zero if it does not.
	heldUntil time.Time
}

func (e *entry) held() bool {
	return !e.heldUntil.IsZero()
}

// Orders holds the orders that a VM knows. It stays as it is while the registry can't be read. It is not safe for
// concurrent use.
type Orders struct {
	entries map[unit.CentreName]*entry
	// era is that of the latest listing of the registry.
	era unit.Era
}

// New returns a state without orders.
func New() *Orders {
	return &Orders{entries: make(map[unit.CentreName]*entry)}
}

// Put applies an order that was written, unless a later change is known.
func (o *Orders) Put(now time.Time, order Order) []Change {
	e := o.entries[order.Centre]
	if e == nil {
		e = &entry{}
		o.entries[order.Centre] = e
	}
	if e.changed.After(order.Position) {
		return nil
	}
	return e.set(now, order, true)
}

// Remove applies the removal of a data centre's order at a position, unless a later change is known.
func (o *Orders) Remove(now time.Time, centre unit.CentreName, at unit.Position) []Change {
	e := o.entries[centre]
	if e == nil || e.changed.After(at) {
		return nil
	}
	return e.set(now, Order{Centre: centre, Position: at}, false)
}

// set records a write or a removal at the order's position, and returns the change that it makes.
func (e *entry) set(now time.Time, order Order, evacuated bool) []Change {
	before := *e
	e.changed, e.evacuated, e.heldUntil = order.Position, evacuated, time.Time{}
	if before.evacuated == evacuated {
		return nil
	}
	e.since = now
	c := Change{Order: order, Evacuated: evacuated}
	if !evacuated {
		c.Known = now.Sub(before.since)
	}
	return []Change{c}
}

// Replace applies a complete listing of the registry at a position. Within an era an order that it lacks was taken back.
// One that a listing of a later era lacks may be lost, and is held for holdTime.
func (o *Orders) Replace(now time.Time, at unit.Position, listed []Order) []Change {
	var changes []Change
	o.era = max(o.era, at.Era)
	present := make(map[unit.CentreName]bool, len(listed))
	for _, order := range listed {
		if order.Held {
			changes = append(changes, o.Offer(now, order)...)
			continue
		}
		present[order.Centre] = true
		changes = append(changes, o.Put(now, order)...)
	}
	for centre, e := range o.entries {
		switch {
		case present[centre] || e.changed.After(at) || !e.evacuated || e.held():
		case at.Era > e.changed.Era:
			e.heldUntil = now.Add(holdTime)
		default:
			changes = append(changes, e.set(now, Order{Centre: centre, Position: at}, false)...)
		}
	}
	return sorted(changes)
}

// Offer applies an order that another VM knows, and holds it. It counts only if this VM knows nothing of the data centre,
// since an order has no position of its own by which it could be compared, and if the other VM holds it against a restored
// registry, or has not noticed the restore yet.
func (o *Orders) Offer(now time.Time, order Order) []Change {
	if !order.Held && order.Era >= o.era || o.entries[order.Centre] != nil {
		return nil
	}
	order.Held = true
	e := &entry{}
	o.entries[order.Centre] = e
	changes := e.set(now, order, true)
	e.heldUntil = now.Add(holdTime)
	return changes
}

// Sweep ends the orders whose hold is over. It is called on every tick of the control goroutine.
func (o *Orders) Sweep(now time.Time) []Change {
	var changes []Change
	for centre, e := range o.entries {
		if e.held() && !now.Before(e.heldUntil) {
			changes = append(changes, e.set(now, Order{Centre: centre, Position: e.changed}, false)...)
		}
	}
	return sorted(changes)
}

// Evacuated returns the evacuated data centres, sorted by name.
func (o *Orders) Evacuated() []unit.CentreName {
	var all []unit.CentreName
	for centre, e := range o.entries {
		if e.evacuated {
			all = append(all, centre)
		}
	}
	slices.Sort(all)
	return all
}

// Held returns the orders that stand against a restored registry which lacks them, sorted by data centre.
func (o *Orders) Held() []Order {
	var all []Order
	for centre, e := range o.entries {
		if e.held() {
			all = append(all, Order{Centre: centre, Held: true})
		}
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.Centre, b.Centre) })
	return all
}

// sorted returns the changes in the order of their data centres.
func sorted(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Centre, b.Centre) })
	return changes
}
