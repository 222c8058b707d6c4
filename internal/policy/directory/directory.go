// Package directory decides which endpoints an entry VM may use, based on what the endpoints have published about
// themselves in the registry and on whether the registry could be read.
package directory

import (
	"time"

	"basilspan/internal/core/unit"
)

// lapseGrace is how long an endpoint stays usable after its registration has disappeared: as a last resort or, if that
// happened during or shortly after an outage of the registry, like any other endpoint. Live endpoints register again
// within two seconds after the registry becomes available.
const lapseGrace = 2 * time.Second

// dropMargin is how long before the end of the calm time the grace of registrations lost in an outage ends, so that
// the sweep and requests in flight finish before this VM has to be up to date.
const dropMargin = 500 * time.Millisecond

const (
	// restoreHold is how long after a restore of the registry what an endpoint published before it stands against the
	// registry's copy. Live endpoints publish it again, and registrations of others expire, in less.
	restoreHold = 10 * time.Second
	// goneTime is how long an endpoint that has gone is remembered, since a copy that the registry is restored from may
	// still have it. maxGone bounds how many are.
	goneTime = time.Minute
	maxGone  = 4096
)

// Registration is what one endpoint has published about itself.
type Registration struct {
	// Position is the position of the last change in the registry.
	unit.Position
	ID      unit.EndpointID
	Service unit.ServiceName
	Address unit.Address
	Centre  unit.CentreName
	Slots   unit.Slots
	// Born is when the endpoint started, the zero time if it does not say so. With Sequence, the number of its last
	// heartbeat before the change, it orders what the endpoint has published, independent of the registry.
	Born     time.Time
	Sequence unit.Sequence
	// Leaving endpoints get no new requests.
	Leaving bool
	// WarmAt is when the endpoint, which is slow after its start, reaches its normal speed.
	WarmAt time.Time
}

// publishedAfter reports whether the endpoint published r later than other.
func (r Registration) publishedAfter(other Registration) bool {
	if !r.Born.Equal(other.Born) {
		return r.Born.After(other.Born)
	}
	return r.Sequence > other.Sequence
}

// Endpoint is an endpoint that may receive requests.
type Endpoint struct {
	Registration
	// Lapsed endpoints have lost their registration and are used only as a last resort.
	Lapsed bool
	// Contested endpoints have an address at which a service that is not named has a newer registration, and are used only
	// as a last resort. That registration may come from another writer, or from an endpoint that has the address now, which
	// answers that it is not the one that was meant.
	Contested bool
}

// entry is a known registration.
type entry struct {
	Registration
	// missingSince is when the registration was first found missing; it is zero while the registration exists.
	missingSince time.Time
	// removedAt is the position of the latest removal since. It is zero if only a listing or an unreadable value has shown
	// it, whose position may be later than that of a registration that follows.
	removedAt unit.Position
	// nearOutage is set if the registration went missing during or shortly after an outage of the registry, and so may
	// only have expired because the endpoint could not renew it.
	nearOutage bool
	// goneSince is when the endpoint had gone. It gets no requests from then on, and the entry only serves to recognise
	// its registration when a restore of the registry brings it back.
	goneSince time.Time
	// heldBack is the registration that a restore of the registry has brought back although the endpoint has published
	// something else since, or has gone. It replaces this one if it still stands restoreHold after the restore.
	heldBack *Registration
}

// stands reports whether what the endpoint published last stands against its registration of a later era.
func (e *entry) stands(r Registration) bool {
	expired := !e.missingSince.IsZero() && !e.nearOutage
	if e.Leaving || e.gone() || expired {
		return !r.publishedAfter(e.Registration)
	}
	return e.publishedAfter(r)
}

func (e *entry) gone() bool {
	return !e.goneSince.IsZero()
}

// Directory holds the registrations that an entry VM knows. It is not safe for concurrent use.
type Directory struct {
	// Calm is the time after an outage within which this VM has to be up to date.
	Calm time.Duration
	// Named reports whether a service is one that requests can go to; nil means that all are.
	Named func(unit.ServiceName) bool

	entries map[unit.EndpointID]*entry
	// unavailable is set while the registry cannot be read. lastFailure is when the most recent failed read was made,
	// and recovered is when the registry could be read again.
	unavailable bool
	lastFailure time.Time
	recovered   time.Time
	// era is the era of the last listing, and eraSince is when it was first listed. eraKnown is set from the first
	// listing or registration on.
	era      unit.Era
	eraSince time.Time
	eraKnown bool
	// goneCount is the number of entries of endpoints that have gone. goneOrder holds them in the order in which they went,
	// and also some that have been removed since.
	goneCount int
	goneOrder []*entry
}

// New returns an empty directory. The VM has to be up to date within calm after an outage of the registry.
func New(calm time.Duration) *Directory {
	return &Directory{Calm: calm, entries: make(map[unit.EndpointID]*entry)}
}

// Put adds or replaces a registration and so ends a grace period of the endpoint. It ignores a registration that is
// older than the known one or its removal. One that a restore of the registry has brought back, and that the endpoint has
// overtaken since, is held back for restoreHold; Put reports whether it was.
func (d *Directory) Put(r Registration) (heldBack bool) {
	d.learnEra(r.Era)
	known := d.entries[r.ID]
	if known == nil {
		d.entries[r.ID] = &entry{Registration: r}
		return false
	}
	if known.After(r.Position) || known.removedAt.After(r.Position) {
		return false
	}
	if known.Era < r.Era && known.stands(r) {
		known.heldBack = &r
		return true
	}
	d.remove(known)
	d.entries[r.ID] = &entry{Registration: r}
	return false
}

// Remove handles the removal of a registration at a position. unreadable means that the key now holds a value that
// describes no endpoint. Such an endpoint, or one that was leaving, is removed at once; any other gets a grace period.
func (d *Directory) Remove(now time.Time, id unit.EndpointID, at unit.Position, unreadable bool) {
	known := d.entries[id]
	if known == nil || known.After(at) {
		return
	}
	known.heldBack = nil
	if at.After(known.removedAt) && !unreadable {
		known.removedAt = at
	}
	if known.Leaving || unreadable {
		d.markGone(now, known)
		return
	}
	d.markMissing(now, known)
}

// Replace applies a complete listing of the registry in an era. Known registrations that it lacks are marked missing, or
// removed if they were leaving. It returns how many registrations were held back.
func (d *Directory) Replace(now time.Time, era unit.Era, all []Registration) (heldBack int) {
	d.learnEra(era)
	if era > d.era {
		d.beginEra(now, era)
	}
	listed := make(map[unit.EndpointID]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		if d.Put(r) {
			heldBack++
		}
	}
	for id, e := range d.entries {
		if listed[id] {
			continue
		}
		e.heldBack = nil
		if e.Leaving {
			d.markGone(now, e)
		} else {
			d.markMissing(now, e)
		}
	}
	return heldBack
}

// learnEra records the era in which this VM has begun to read the registry. Earlier restores are no outage to it.
func (d *Directory) learnEra(era unit.Era) {
	if !d.eraKnown {
		d.era, d.eraKnown = era, true
	}
}

// beginEra records the first listing of a later era. A restore counts as the end of an outage, also at a VM whose reads did
// not fail meanwhile.
func (d *Directory) beginEra(now time.Time, era unit.Era) {
	d.era, d.eraSince = era, now
	if !d.unavailable && !now.Before(d.recovered.Add(lapseGrace)) {
		d.lastFailure, d.recovered = now, now
	}
}

// markGone ends the use of an endpoint and remembers it for goneTime.
func (d *Directory) markGone(now time.Time, e *entry) {
	if e.gone() {
		return
	}
	e.goneSince = now
	d.goneCount++
	d.goneOrder = append(d.goneOrder, e)
	for d.goneCount > maxGone {
		d.forgetFirstGone()
	}
}

// forgetFirstGone takes the first entry off goneOrder and forgets it, unless that has happened.
func (d *Directory) forgetFirstGone() {
	first := d.goneOrder[0]
	d.goneOrder[0] = nil
	d.goneOrder = d.goneOrder[1:]
	if d.entries[first.ID] == first {
		d.remove(first)
	}
}

// forgetGone forgets the endpoints that went goneTime ago, up to the first whose registration is held back.
func (d *Directory) forgetGone(now time.Time) {
	for len(d.goneOrder) > 0 {
		first := d.goneOrder[0]
		current := d.entries[first.ID] == first
		if current && (first.heldBack != nil || now.Before(first.goneSince.Add(goneTime))) {
			return
		}
		d.forgetFirstGone()
	}
}

// remove forgets an entry.
func (d *Directory) remove(e *entry) {
	if e.gone() {
		d.goneCount--
	}
	delete(d.entries, e.ID)
}

// markMissing starts the grace period of a registration that has disappeared, unless it is running already or over.
func (d *Directory) markMissing(now time.Time, e *entry) {
	if e.missingSince.IsZero() && !e.gone() {
		e.missingSince = now
		e.nearOutage = d.unavailable || now.Before(d.recovered.Add(lapseGrace))
	}
}

// RecordRegistryFailure records that a read of the registry, made at now, failed.
func (d *Directory) RecordRegistryFailure(now time.Time) {
	d.unavailable = true
	d.lastFailure = now
}

// RecordRegistryRecovery records that the registry can be read again. It does nothing unless the last read failed.
func (d *Directory) RecordRegistryRecovery(now time.Time) {
	if d.unavailable {
		d.unavailable = false
		d.recovered = now
	}
}

// Sweep ends the use of endpoints whose grace period has ended, begins that of registrations that were held back for
// restoreHold, and reports whether there were any of either. It is called on every tick of the control goroutine.
func (d *Directory) Sweep(now time.Time) bool {
	changed := false
	d.forgetGone(now)
	for _, e := range d.entries {
		switch {
		case e.heldBack != nil && !now.Before(d.eraSince.Add(restoreHold)):
			d.remove(e)
			d.entries[e.ID] = &entry{Registration: *e.heldBack}
			changed = true
		case e.gone():
		case !e.missingSince.IsZero() && !now.Before(d.graceEnd(e)):
			d.markGone(now, e)
			changed = true
		}
	}
	return changed
}

// graceEnd returns when an endpoint with a missing registration is removed. If it went missing near an outage, its
// grace counts from the recovery, as long as that came later. The registry may have recovered soon after the last
// failed read, so this grace ends no later than dropMargin before the end of the calm time counted from that read.
func (d *Directory) graceEnd(e *entry) time.Time {
	end := e.missingSince.Add(lapseGrace)
	if !e.nearOutage {
		return end
	}
	if !d.recovered.Before(e.missingSince) {
		end = d.recovered.Add(lapseGrace)
	}
	if latest := d.lastFailure.Add(d.Calm - dropMargin); !d.unavailable && latest.Before(end) {
		return latest
	}
	return end
}

// Len returns the number of known registrations, including those that are leaving or missing. It has no callers.
func (d *Directory) Len() int {
	return len(d.entries) - d.goneCount
}

// Endpoints returns the endpoints that may receive requests, grouped by service: all but those that are leaving and
// those whose address a newer registration of a named service has taken. Missing ones stay in it during their grace
// period.
func (d *Directory) Endpoints() map[unit.ServiceName][]Endpoint {
	newest := d.newestByAddress(func(*entry) bool { return true })
	newestNamed := d.newestByAddress(func(e *entry) bool { return d.isNamed(e.Service) })
	all := make(map[unit.ServiceName][]Endpoint)
	for id, e := range d.entries {
		contested := newest[e.Address] != id
		if e.Leaving || e.gone() || contested && newestNamed[e.Address] != id {
			continue
		}
		lapsed := !e.missingSince.IsZero() && !e.nearOutage
		all[e.Service] = append(all[e.Service], Endpoint{Registration: e.Registration, Lapsed: lapsed, Contested: contested})
	}
	return all
}

// isNamed reports whether requests can go to a service.
func (d *Directory) isNamed(service unit.ServiceName) bool {
	return d.Named == nil || d.Named(service)
}

// newestByAddress returns the endpoint that currently uses each address, going by the entries that count. Addresses are
// reused, and the newest registration wins.
func (d *Directory) newestByAddress(counts func(e *entry) bool) map[unit.Address]unit.EndpointID {
	newestByAddress := make(map[unit.Address]unit.EndpointID, len(d.entries))
	for id, e := range d.entries {
		if e.gone() || !counts(e) {
			continue
		}
		other, taken := newestByAddress[e.Address]
		if !taken || e.After(d.entries[other].Position) {
			newestByAddress[e.Address] = id
		}
	}
	return newestByAddress
}
