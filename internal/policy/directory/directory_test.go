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

func reg(id unit.EndpointID, address unit.Address, revision unit.Revision) Registration {
	return Registration{ID: id, Service: "s", Address: address, Revision: revision}
}

func leaving(id unit.EndpointID, address unit.Address, revision unit.Revision) Registration {
	r := reg(id, address, revision)
	r.Leaving = true
	return r
}

func TestEndpoints(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Directory)
		// want are the ids that may get requests, with "~" behind those that are a last resort.
		want []string
	}{
		{"registered", func(d *Directory) { d.Put(reg("a", "1", 1)) }, []string{"a"}},
		{"leaving", func(d *Directory) { d.Put(reg("a", "1", 1)); d.Put(leaving("a", "1", 2)) }, nil},
		{"an older registration", func(d *Directory) { d.Put(leaving("a", "1", 2)); d.Put(reg("a", "1", 1)) }, nil},
		{"vanished", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", 2, false)
		}, []string{"a~"}},
		{"vanished for long", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", 2, false)
			d.Sweep(at(2000))
		}, nil},
		{"vanished and back", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", 2, false)
			d.Put(reg("a", "1", 3))
			d.Sweep(at(5000))
		}, []string{"a"}},
		{"a removal that came before the registration", func(d *Directory) {
			d.Put(reg("a", "1", 3))
			d.Remove(at(0), "a", 2, false)
		}, []string{"a"}},
		{"expired in an outage that was long over when it was noticed", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(0))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), nil)
			d.Sweep(at(3500))
		}, nil},
		{"expired in an outage that was over soon before", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(2500))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), nil)
			d.Sweep(at(4999))
		}, []string{"a"}},
		{"left as it had said", func(d *Directory) {
			d.Put(leaving("a", "1", 1))
			d.Remove(at(0), "a", 2, false)
		}, nil},
		{"replaced by what names no endpoint", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", 2, true)
		}, nil},
		{"expired while the registry was away", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Remove(at(1100), "a", 2, false)
		}, []string{"a"}},
		{"missing from the first listing after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Put(reg("b", "2", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), []Registration{reg("b", "2", 1)})
		}, []string{"a", "b"}},
		{"missing for long after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), nil)
			d.Sweep(at(3000))
		}, nil},
		{"vanished long after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Remove(at(4000), "a", 2, false)
		}, []string{"a~"}},
		{"an address that is used again", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.Remove(at(0), "a", 2, false)
			d.Put(reg("b", "1", 3))
		}, []string{"b"}},
		{"an address that is used again before the removal is seen", func(d *Directory) {
			d.Put(reg("b", "1", 3))
			d.Put(reg("a", "1", 1))
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

// TestSweep checks that a sweep drops an endpoint at the end of its grace and not before.
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
			d.Remove(at(0), "a", 2, false)
			assert.Equal(t, d.Sweep(tt.at), tt.want)
		})
	}
}
