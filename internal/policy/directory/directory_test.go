package directory

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// first returns a position of the first era, and restored one of the era after a restore.
func first(revision unit.Revision) unit.Position {
	return unit.Position{Revision: revision}
}

func restored(revision unit.Revision) unit.Position {
	return unit.Position{Era: 1, Revision: revision}
}

func reg(id unit.EndpointID, address unit.Address, revision unit.Revision) Registration {
	return Registration{Position: first(revision), ID: id, Service: "s", Address: address}
}

func leaving(id unit.EndpointID, address unit.Address, revision unit.Revision) Registration {
	r := reg(id, address, revision)
	r.Leaving = true
	return r
}

// afterRestore returns the registration as read after a restore.
func afterRestore(r Registration) Registration {
	r.Era = 1
	return r
}

// TestEndpoints checks which endpoints may receive requests after registrations have changed or the registry has been
// unavailable.
func TestEndpoints(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Directory)
		// want lists the ids that may receive requests, with "~" after those that are a last resort.
		want []string
	}{
		{"registered", func(d *Directory) { d.Put(reg("a", "1", 1)) }, []string{"a"}},
		{"leaving", func(d *Directory) { d.Put(reg("a", "1", 1)); d.Put(leaving("a", "1", 2)) }, nil},
		{"an older registration", func(d *Directory) { d.Put(leaving("a", "1", 2)); d.Put(reg("a", "1", 1)) }, nil},
		{"vanished", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
		}, []string{"a~"}},
		{"registration missing for the whole grace period", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
			d.Sweep(at(2000))
		}, nil},
		{"registered again within the grace period", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
			d.Put(reg("a", "1", 3))
			d.Sweep(at(5000))
		}, []string{"a"}},
		{"a removal older than the registration", func(d *Directory) {
			d.Put(reg("a", "1", 3))
			d.Remove(at(0), "a", first(2), false)
		}, []string{"a"}},
		{"outage ended long before the next read", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(0))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), nil)
			d.Sweep(at(3500))
		}, nil},
		{"outage ended shortly before the next read", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(2500))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), nil)
			d.Sweep(at(4999))
		}, []string{"a"}},
		{"removed after it was leaving", func(d *Directory) {
			d.Put(leaving("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
		}, nil},
		{"replaced by a value that describes no endpoint", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), true)
		}, nil},
		{"expired shortly after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Remove(at(1100), "a", first(2), false)
		}, []string{"a"}},
		{"missing from the first listing after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Put(reg("b", "2", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), []Registration{reg("b", "2", 1)})
		}, []string{"a", "b"}},
		{"missing for the whole grace period after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), nil)
			d.Sweep(at(3000))
		}, nil},
		{"registration missing long after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Remove(at(4000), "a", first(2), false)
		}, []string{"a~"}},
		{"a reused address", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
			d.Put(reg("b", "1", 3))
		}, []string{"b"}},
		{"a reused address before the removal is seen", func(d *Directory) {
			d.Put(reg("b", "1", 3))
			d.Put(reg("a", "1", 1))
		}, []string{"b"}},
		{"registered again at a lower revision after a restore", func(d *Directory) {
			d.Put(reg("a", "1", 9))
			d.RecordRegistryFailure(at(0))
			d.RecordRegistryRecovery(at(100))
			d.Replace(at(100), nil)
			d.Put(afterRestore(reg("a", "1", 4)))
			d.Sweep(at(5000))
		}, []string{"a"}},
		{"leaving at a lower revision after a restore", func(d *Directory) {
			d.Put(reg("a", "1", 9))
			d.Put(afterRestore(leaving("a", "1", 4)))
		}, nil},
		{"removed at a lower revision after a restore", func(d *Directory) {
			d.Put(reg("a", "1", 9))
			d.Remove(at(0), "a", restored(4), false)
			d.Sweep(at(2000))
		}, nil},
		{"a reused address, at a lower revision after a restore", func(d *Directory) {
			d.Put(reg("a", "1", 9))
			d.Put(afterRestore(reg("b", "1", 4)))
		}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(4 * time.Second)
			tt.do(d)
			var got []string
			for _, e := range d.Endpoints()["s"] {
				id := string(e.ID)
				if e.Lapsed {
					id += "~"
				}
				got = append(got, id)
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestSweep checks that a sweep removes an endpoint at the end of its grace period and not before.
func TestSweep(t *testing.T) {
	tests := []struct {
		name string
		at   time.Time
		want bool
	}{
		{"just before", at(1999), false},
		{"at the end", at(2000), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(4 * time.Second)
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", first(2), false)
			assert.Equal(t, d.Sweep(tt.at), tt.want)
		})
	}
}
