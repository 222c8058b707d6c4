// Package warming decides how many requests a VM may send to a cold endpoint, so that all VMs together stay below what the
// endpoint stands while it warms up. VMs don't tell each other what they send: a few of them, chosen for each endpoint by an
// order that all VMs can compute, have a fixed share each.
package warming

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
)

const (
	// maxSharers is the number of VMs that send to a cold endpoint. With three the endpoint gets requests while one of them
	// is away.
	maxSharers = 3
	// reserveFactor divides the bound beside the number of VMs. VMs with different lists choose different sharers, so that
	// for a time more of them send than each of them believes.
	reserveFactor = 2
	// MaxWriteDelay is the longest time between the choice of a cold endpoint and the writing of the request.
	MaxWriteDelay = 100 * time.Millisecond
	// window is the time over which choices are counted. The requests of choices that are a window apart are written a
	// second apart at least.
	window = time.Second + MaxWriteDelay
)

// Limits is the published bound on the requests to a cold endpoint in any second, from all VMs together: the endpoint's
// rate times Overshoot, and Slack beside.
type Limits struct {
	Overshoot float64
	Slack     float64
}

// Bound returns how many requests an endpoint with that rate may get in any second while it is cold.
func (l Limits) Bound(rate unit.RequestRate) int {
	return int(min(float64(rate)*l.Overshoot+l.Slack, math.MaxInt32))
}

// share returns how many VMs send to a cold endpoint, and how many requests each of them may send in any second. Both are 0
// where the bound is too small to be divided.
func share(bound int) (vms, each int) {
	vms = min(maxSharers, bound/reserveFactor)
	if vms == 0 {
		return 0, 0
	}
	return vms, bound / (reserveFactor * vms)
}

// Tracker counts what a VM sends to cold endpoints. It is not safe for concurrent use.
type Tracker struct {
	self unit.NodeID
	// choices holds the times at which each endpoint was chosen, within the last window.
	choices map[unit.EndpointID][]time.Time
}

// New returns the tracker of a VM.
func New(self unit.NodeID) *Tracker {
	return &Tracker{self: self, choices: make(map[unit.EndpointID][]time.Time)}
}

// Allows reports whether this VM, one of vms, may send a further request to a cold endpoint of which all VMs together may
// send bound in any second.
func (t *Tracker) Allows(now time.Time, id unit.EndpointID, vms []unit.NodeID, bound int) bool {
	sharers, each := share(bound)
	if !isAmongFirst(t.self, id, vms, sharers) {
		return false
	}
	return len(t.recent(now, id)) < each
}

// Record counts a request that is about to be sent to a cold endpoint.
func (t *Tracker) Record(now time.Time, id unit.EndpointID) {
	t.choices[id] = append(t.recent(now, id), now)
}

// MayWrite reports whether a request that was recorded at chosen may still be written to a cold endpoint. One that was
// chosen before the endpoint turned cold was not recorded.
func (t *Tracker) MayWrite(now, chosen time.Time, id unit.EndpointID) bool {
	return now.Sub(chosen) <= MaxWriteDelay && slices.ContainsFunc(t.choices[id], chosen.Equal)
}

// Forget drops the counts of endpoints that got no request lately.
func (t *Tracker) Forget(now time.Time) {
	for id := range t.choices {
		if len(t.recent(now, id)) == 0 {
			delete(t.choices, id)
		}
	}
}

// recent drops the choices of an endpoint that are older than the window and returns the others.
func (t *Tracker) recent(now time.Time, id unit.EndpointID) []time.Time {
	all := slices.DeleteFunc(t.choices[id], func(at time.Time) bool { return now.Sub(at) > window })
	if len(all) == 0 {
		return nil
	}
	t.choices[id] = all
	return all
}

// isAmongFirst reports whether a VM is among the first n of vms for an endpoint, by rendezvous hashing.
func isAmongFirst(self unit.NodeID, id unit.EndpointID, vms []unit.NodeID, n int) bool {
	if !slices.Contains(vms, self) {
		return false
	}
	own, before := rank(self, id), 0
	for _, vm := range vms {
		if vm != self && rank(vm, id) > own {
			before++
		}
	}
	return before < n
}

// rank returns the hash by which the VMs are ordered for an endpoint, highest first.
func rank(vm unit.NodeID, id unit.EndpointID) uint64 {
	return xxhash.Sum64String(string(vm) + "/" + string(id))
}
