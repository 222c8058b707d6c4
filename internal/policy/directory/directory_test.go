package directory

import (
	"slices"
	"strconv"
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

// said returns the registration as published by an endpoint that started born ms after start, with that heartbeat.
func said(r Registration, born int, sequence unit.Sequence) Registration {
	r.Born, r.Sequence = at(born), sequence
	return r
}

// TestRestoredRegistration guards against a restored registration that replaces the endpoint's later one.
func TestRestoredRegistration(t *testing.T) {
	copied := afterRestore(said(reg("a", "1", 1), 0, 3))
	tests := []struct {
		name string
		do   func(d *Directory)
		want []string
	}{
		{"was leaving", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Replace(at(0), 1, []Registration{copied})
		}, nil},
		{"was leaving, and says so again", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Replace(at(0), 1, []Registration{copied})
			d.Put(afterRestore(said(leaving("a", "1", 2), 0, 10)))
			d.Sweep(at(60000))
		}, nil},
		{"was leaving, and is ready again", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Replace(at(0), 1, []Registration{copied})
			d.Put(afterRestore(said(reg("a", "1", 2), 0, 10)))
		}, []string{"a"}},
		{"was leaving, restored twice", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Replace(at(0), 1, []Registration{copied})
			twice := copied
			twice.Era = 2
			d.Replace(at(9000), 2, []Registration{twice})
			d.Sweep(at(11000))
		}, nil},
		{"was removed after leaving", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Replace(at(3000), 1, []Registration{copied})
		}, nil},
		{"was removed without leaving", func(d *Directory) {
			d.Put(said(reg("a", "1", 1), 0, 3))
			d.Remove(at(0), "a", first(6), false)
			d.Sweep(at(2000))
			d.Replace(at(3000), 1, []Registration{copied})
		}, nil},
		{"was removed without leaving, just before the restore", func(d *Directory) {
			d.Put(said(reg("a", "1", 1), 0, 3))
			d.Remove(at(0), "a", first(6), false)
			d.Replace(at(500), 1, []Registration{copied})
			d.Sweep(at(2000))
		}, nil},
		{"was removed from a listing", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Replace(at(0), 0, nil)
			d.Replace(at(3000), 1, []Registration{copied})
		}, nil},
		{"was removed, and expires in the restored registry", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Replace(at(3000), 1, []Registration{copied})
			d.Remove(at(7000), "a", restored(2), false)
			d.Sweep(at(60000))
		}, nil},
		{"was removed, and missing in the next listing", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Replace(at(3000), 1, []Registration{copied})
			d.Replace(at(7000), 1, nil)
			d.Sweep(at(60000))
		}, nil},
		{"was removed, and stays in the restored registry", func(d *Directory) {
			d.Put(said(reg("a", "1", 1), 0, 3))
			d.Remove(at(0), "a", first(6), false)
			d.Sweep(at(2000))
			d.Replace(at(3000), 1, []Registration{copied})
			d.Sweep(at(13000))
		}, []string{"a"}},
		{"was removed, and has started again", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Replace(at(3000), 1, []Registration{copied})
			d.Put(afterRestore(said(reg("a", "1", 2), 2500, 1)))
		}, []string{"a"}},
		{"had registered again under its id before the restore", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Put(said(reg("a", "1", 7), 500, 1))
			d.Replace(at(3000), 1, []Registration{copied})
		}, []string{"a"}},
		{"expired in the outage before the restore", func(d *Directory) {
			d.Put(said(reg("a", "1", 1), 0, 3))
			d.RecordRegistryFailure(at(0))
			d.Replace(at(500), 0, nil)
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), 1, []Registration{copied})
			d.Sweep(at(60000))
		}, []string{"a"}},
		{"has not changed", func(d *Directory) {
			d.Put(said(reg("a", "1", 1), 0, 3))
			d.Replace(at(0), 1, []Registration{copied})
			d.Sweep(at(60000))
		}, []string{"a"}},
		{"left a long time before the restore", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Sweep(at(60000))
			d.Replace(at(60000), 1, []Registration{copied})
		}, []string{"a"}},
		{"registered after the copy was made", func(d *Directory) {
			d.Put(said(reg("a", "1", 5), 0, 3))
			d.Replace(at(3000), 1, nil)
			d.Sweep(at(4999))
		}, []string{"a"}},
		{"registered after the copy was made, and a long time after an outage", func(d *Directory) {
			d.RecordRegistryFailure(at(0))
			d.RecordRegistryRecovery(at(1000))
			d.Put(said(reg("a", "1", 5), 0, 3))
			d.Replace(at(60000), 1, nil)
			d.Sweep(at(61999))
		}, []string{"a"}},
		{"registered after the copy was made, and not again", func(d *Directory) {
			d.Put(said(reg("a", "1", 5), 0, 3))
			d.Replace(at(3000), 1, nil)
			d.Sweep(at(5000))
		}, nil},
		{"registered after the copy was made, restored at the end of an outage", func(d *Directory) {
			d.Put(said(reg("a", "1", 5), 0, 3))
			d.RecordRegistryFailure(at(0))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), 1, nil)
			d.Sweep(at(3500))
		}, nil},
		{"an address that is in use again", func(d *Directory) {
			d.Put(said(leaving("a", "1", 5), 0, 9))
			d.Remove(at(0), "a", first(6), false)
			d.Put(said(reg("b", "1", 7), 2000, 1))
			d.RecordRegistryFailure(at(2500))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), 1, []Registration{copied})
		}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(4 * time.Second)
			tt.do(d)
			assert.DeepEqual(t, usable(d), tt.want)
		})
	}
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
		{"a registration from before it was leaving, after its removal", func(d *Directory) {
			d.Put(leaving("a", "1", 20))
			d.Remove(at(0), "a", first(25), false)
			d.Replace(at(100), 0, []Registration{reg("a", "1", 10)})
		}, nil},
		{"a registration from before it was leaving, after a listing without it", func(d *Directory) {
			d.Put(leaving("a", "1", 20))
			d.Replace(at(0), 0, nil)
			d.Put(reg("a", "1", 10))
		}, nil},
		{"its registration, after its removal", func(d *Directory) {
			d.Put(reg("a", "1", 20))
			d.Remove(at(0), "a", first(25), false)
			d.Sweep(at(2000))
			d.Put(reg("a", "1", 20))
		}, nil},
		{"its registration, in the grace period after its removal", func(d *Directory) {
			d.Put(reg("a", "1", 20))
			d.Remove(at(0), "a", first(25), false)
			d.Put(reg("a", "1", 20))
		}, []string{"a~"}},
		{"its registration, in the grace period after the later of two removals", func(d *Directory) {
			d.Put(reg("a", "1", 20))
			d.Remove(at(0), "a", first(25), false)
			d.Remove(at(0), "a", first(22), false)
			d.Put(reg("a", "1", 23))
		}, []string{"a~"}},
		{"its registration, after an older listing without it", func(d *Directory) {
			d.Put(leaving("a", "1", 20))
			d.Replace(at(0), 0, nil)
			d.Put(reg("a", "1", 21))
		}, []string{"a"}},
		{"registered after an unreadable value whose position is that of the response", func(d *Directory) {
			d.Put(reg("a", "1", 20))
			d.Remove(at(0), "a", first(40), true)
			d.Put(reg("a", "1", 39))
		}, []string{"a"}},
		{"a registration of the copy, after its removal since the restore", func(d *Directory) {
			d.Put(leaving("a", "1", 20))
			d.Replace(at(0), 1, []Registration{afterRestore(reg("a", "1", 10))})
			d.Remove(at(3000), "a", restored(12), false)
			d.Put(afterRestore(reg("a", "1", 10)))
			d.Sweep(at(10000))
		}, nil},
		{"registered again after its removal", func(d *Directory) {
			d.Put(leaving("a", "1", 20))
			d.Remove(at(0), "a", first(25), false)
			d.Put(reg("a", "1", 26))
		}, []string{"a"}},
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
			d.Replace(at(3000), 0, nil)
			d.Sweep(at(3500))
		}, nil},
		{"outage ended shortly before the next read", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(2500))
			d.RecordRegistryRecovery(at(3000))
			d.Replace(at(3000), 0, nil)
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
			d.Replace(at(1000), 0, []Registration{reg("b", "2", 1)})
		}, []string{"a", "b"}},
		{"missing for the whole grace period after an outage", func(d *Directory) {
			d.Put(reg("a", "1", 1))
			d.RecordRegistryFailure(at(900))
			d.RecordRegistryRecovery(at(1000))
			d.Replace(at(1000), 0, nil)
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
			d.Replace(at(100), 1, nil)
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
			assert.DeepEqual(t, usable(d), tt.want)
		})
	}
}

// usable returns the ids of the endpoints that may receive requests, with "~" after those that are a last resort.
func usable(d *Directory) []string {
	var ids []string
	for _, e := range d.Endpoints()["s"] {
		id := string(e.ID)
		if e.Lapsed {
			id += "~"
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
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

// TestGoneAreBounded checks that the endpoints that have gone first are forgotten first, and none that has come back.
func TestGoneAreBounded(t *testing.T) {
	const extra = 10
	tests := []struct {
		name string
		// back is the number of the first endpoints that register again before the others have gone.
		back int
		want int
	}{
		{"none comes back", 0, maxGone},
		{"some come back", 5, maxGone},
		{"as many come back as are over the bound", extra, maxGone},
		{"more come back", 2 * extra, maxGone - extra},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(4 * time.Second)
			id := func(n int) unit.EndpointID { return unit.EndpointID(strconv.Itoa(n)) }
			for n := range maxGone + extra {
				d.Put(leaving(id(n), unit.Address(id(n)), 1))
			}
			for n := range maxGone {
				d.Remove(at(n), id(n), first(2), false)
			}
			for n := range tt.back {
				d.Put(leaving(id(n), unit.Address(id(n)), 3))
			}
			for n := range extra {
				d.Remove(at(maxGone+n), id(maxGone+n), first(2), false)
			}
			assert.Equal(t, d.goneCount, tt.want)
			assert.Equal(t, d.Len(), tt.back)
			for n := range tt.back {
				assert.Assert(t, d.entries[id(n)] != nil && !d.entries[id(n)].gone())
			}
			for n := tt.back; n < extra; n++ {
				assert.Assert(t, d.entries[id(n)] == nil, "%d", n)
			}
			assert.Assert(t, d.entries[id(max(extra, tt.back))] != nil)
			d.Sweep(at(maxGone + extra).Add(goneTime))
			assert.Equal(t, d.goneCount, 0)
			assert.Equal(t, len(d.goneOrder), 0)
		})
	}
}
