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

// Registration is what one endpoint has published about itself.
type Registration struct {
	// Position is the position of the last change in the registry.
	unit.Position
	ID      unit.EndpointID
	Service unit.ServiceName
	Address unit.Address
	Centre  unit.CentreName
	Slots   unit.Slots
	// Leaving endpoints get no new requests.
	Leaving bool
	// WarmAt is when the endpoint, which is slow after its start, reaches its normal speed.
	WarmAt time.Time
}

// Endpoint is an endpoint that may receive requests.
type Endpoint struct {
	Registration
	// Lapsed endpoints have lost their registration and are used only as a last resort.
	Lapsed bool
}

// entry is a known registration.
type entry struct {
	Registration
	// missingSince is when the registration was first found missing; it is zero while the registration exists.
	missingSince time.Time
	// nearOutage is set if the registration went missing during or shortly after an outage of the registry, and so may
	// only have expired because the endpoint could not renew it.
	nearOutage bool
}

// Directory holds the registrations that an entry VM knows. It is not safe for concurrent use.
type Directory struct {
	// Calm is the time after an outage within which this VM has to be up to date.
	Calm time.Duration

	entries map[unit.EndpointID]*entry
	// unavailable is set while the registry cannot be read. lastFailure is when the most recent failed read was made,
	// and recovered is when the registry could be read again.
	unavailable bool
	lastFailure time.Time
	recovered   time.Time
}

// New returns an empty directory. The VM has to be up to date within calm after an outage of the registry.
func New(calm time.Duration) *Directory {
	return &Directory{Calm: calm, entries: make(map[unit.EndpointID]*entry)}
}

// Put adds or replaces a registration and so ends a grace period of the endpoint. It ignores a registration that is
// older than the known one.
func (d *Directory) Put(r Registration) {
	if known := d.entries[r.ID]; known != nil && known.After(r.Position) {
		return
	}
	d.entries[r.ID] = &entry{Registration: r}
}

// Remove handles the removal of a registration at a position. unreadable means that the key now holds a value that
// describes no endpoint. Such an endpoint, or one that was leaving, is removed at once; any other gets a grace period.
func (d *Directory) Remove(now time.Time, id unit.EndpointID, at unit.Position, unreadable bool) {
	known := d.entries[id]
	if known == nil || known.After(at) {
		return
	}
	if known.Leaving || unreadable {
		delete(d.entries, id)
		return
	}
	d.markMissing(now, known)
}

// Replace applies a complete listing of the registry. Known registrations that it lacks are marked missing, or removed
// if they were leaving.
func (d *Directory) Replace(now time.Time, all []Registration) {
	listed := make(map[unit.EndpointID]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		d.Put(r)
	}
	for id, e := range d.entries {
		switch {
		case listed[id]:
		case e.Leaving:
			delete(d.entries, id)
		default:
			d.markMissing(now, e)
		}
	}
}

// markMissing starts the grace period of a registration that has disappeared, unless it is running already.
func (d *Directory) markMissing(now time.Time, e *entry) {
	if e.missingSince.IsZero() {
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

// Sweep removes the endpoints whose grace period has ended and reports whether there were any. It is called on every
// tick of the control goroutine.
func (d *Directory) Sweep(now time.Time) bool {
	dropped := false
	for id, e := range d.entries {
		if !e.missingSince.IsZero() && !now.Before(d.graceEnd(e)) {
			delete(d.entries, id)
			dropped = true
		}
	}
	return dropped
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
	return len(d.entries)
}

// Endpoints returns the endpoints that may receive requests, grouped by service: all but those that are leaving and
// those whose address a newer registration has taken. Missing ones stay in it during their grace period.
func (d *Directory) Endpoints() map[unit.ServiceName][]Endpoint {
	newestByAddress := d.newestByAddress()
	all := make(map[unit.ServiceName][]Endpoint)
	for id, e := range d.entries {
		if e.Leaving || newestByAddress[e.Address] != id {
			continue
		}
		lapsed := !e.missingSince.IsZero() && !e.nearOutage
		all[e.Service] = append(all[e.Service], Endpoint{Registration: e.Registration, Lapsed: lapsed})
	}
	return all
}

// newestByAddress returns the endpoint that currently uses each address. Addresses are reused, and the newest
// registration wins.
func (d *Directory) newestByAddress() map[unit.Address]unit.EndpointID {
	newestByAddress := make(map[unit.Address]unit.EndpointID, len(d.entries))
	for id, e := range d.entries {
		other, taken := newestByAddress[e.Address]
		if !taken || e.After(d.entries[other].Position) {
			newestByAddress[e.Address] = id
		}
	}
	return newestByAddress
}
