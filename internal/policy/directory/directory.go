// Package directory decides which endpoints an entry VM believes in, from what the endpoints have published about
// themselves and from how well the registry could be read.
package directory

import (
	"time"

	"basilspan/internal/core/unit"
)

// lapseGrace is how long an endpoint whose registration has vanished may still be used as a last resort, or, after an
// outage of the registry, as before. Live endpoints register again within two seconds of the registry's return.
const lapseGrace = 2 * time.Second

// dropMargin is what is left of the time within which this VM has to be up to date once the grace of endpoints that lapsed
// during an outage is over: the sweep and requests under way take no longer.
const dropMargin = 500 * time.Millisecond

// Registration is what one endpoint has published about itself.
type Registration struct {
	ID       unit.EndpointID
	Service  unit.ServiceName
	Address  unit.Address
	Centre   unit.CentreName
	Slots    unit.Slots
	Revision unit.Revision
	// Leaving endpoints get no new requests.
	Leaving bool
	// WarmAt is when the endpoint, which is slow after its start, reaches its usual speed.
	WarmAt time.Time
}

// Endpoint is an endpoint that may get requests.
type Endpoint struct {
	Registration
	// Lapsed endpoints have lost their registration and are a last resort.
	Lapsed bool
}

// entry is a registration with what became of it.
type entry struct {
	Registration
	// missingSince is when the registration was first missing; zero while it stands.
	missingSince time.Time
	// nearOutage says that it vanished around an outage of the registry, and so may only have expired.
	nearOutage bool
}

// Directory holds the registrations that an entry VM knows. It is not safe for use by several goroutines.
type Directory struct {
	// Calm is how long after an outage this VM has to be up to date.
	Calm time.Duration

	entries map[unit.EndpointID]*entry
	// unavailable is set while the registry cannot be read; failed is when it was last found so, and back when it could be read
	// again.
	unavailable bool
	lastFailure time.Time
	recovered   time.Time
}

// New makes an empty directory of a VM that has to be up to date within calm after an outage.
func New(calm time.Duration) *Directory {
	return &Directory{Calm: calm, entries: make(map[unit.EndpointID]*entry)}
}

// Put takes a registration; one that is older than what is known is ignored.
func (d *Directory) Put(r Registration) {
	if known := d.entries[r.ID]; known != nil && known.Revision > r.Revision {
		return
	}
	d.entries[r.ID] = &entry{Registration: r}
}

// Remove takes the end of a registration at that revision. unreadable says that the registration was replaced by one
// that names no endpoint, which ends it for good.
func (d *Directory) Remove(now time.Time, id unit.EndpointID, revision unit.Revision, unreadable bool) {
	known := d.entries[id]
	if known == nil || known.Revision > revision {
		return
	}
	if known.Leaving || unreadable {
		delete(d.entries, id)
		return
	}
	d.markMissing(now, known)
}

// Replace takes a whole listing of the registry: what it lacks has vanished.
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

func (d *Directory) markMissing(now time.Time, e *entry) {
	if e.missingSince.IsZero() {
		e.missingSince = now
		e.nearOutage = d.unavailable || now.Before(d.recovered.Add(lapseGrace))
	}
}

// RecordRegistryFailure takes that the registry could not be read when that was tried at now.
func (d *Directory) RecordRegistryFailure(now time.Time) {
	d.unavailable = true
	d.lastFailure = now
}

// RecordRegistryRecovery takes that the registry can be read again.
func (d *Directory) RecordRegistryRecovery(now time.Time) {
	if d.unavailable {
		d.unavailable = false
		d.recovered = now
	}
}

// Sweep drops the endpoints whose grace is over and says whether there were any.
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

// graceEnd gives when a vanished endpoint is gone for good. The registry may have been there again soon after it was last
// found away, so the grace of an outage does not outlast the calm time from then.
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

// Len gives the number of known registrations.
func (d *Directory) Len() int {
	return len(d.entries)
}

// Endpoints gives the endpoints of each service that may get requests.
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

// newestByAddress gives the endpoint that has each address: addresses are used again, and the newest registration holds.
func (d *Directory) newestByAddress() map[unit.Address]unit.EndpointID {
	newestByAddress := make(map[unit.Address]unit.EndpointID, len(d.entries))
	for id, e := range d.entries {
		other, taken := newestByAddress[e.Address]
		if !taken || d.entries[other].Revision < e.Revision {
			newestByAddress[e.Address] = id
		}
	}
	return newestByAddress
}
