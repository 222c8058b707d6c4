// Package divide decides how the shards of one request are divided among the entry VMs of a region, so that several
// processors share the work of a large fan-out, and which VMs serve which shards.
package divide

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// initialExclusion is how long a VM is excluded after it has not answered a portion. The time doubles with each
	// further failure in a row, up to maxExclusion, because each try costs a request its answer.
	initialExclusion = 3 * time.Second
	maxExclusion     = 24 * time.Second
	// remoteCostFactor is the cost of a portion at another VM relative to one served locally, because of the call.
	remoteCostFactor = 1.3
	// costJitter is the largest share by which a cost is increased at random, so that the VMs don't all choose the
	// same one.
	costJitter = 0.4
	// roundTripWeight is the weight of a higher sample in the estimate of a round trip.
	roundTripWeight = 0.05
)

// Candidate is an entry VM that can serve portions of requests for other VMs of its region.
type Candidate struct {
	Node    unit.NodeID
	Address unit.Address
	Centre  unit.CentreName
	// Power is the processor capacity of the VM in cores; it may be less than one.
	Power unit.Cores
}

// Portion describes some of the shards of a request and the VM that serves them. Local is set if this VM serves the
// portion itself.
type Portion struct {
	Group
	VM    Candidate
	Local bool
}

// Others returns the VMs of the portion's group without the one that serves it.
func (p Portion) Others() []Candidate {
	others := make([]Candidate, 0, len(p.VMs))
	for _, c := range p.VMs {
		if c.Node != p.VM.Node {
			others = append(others, c)
		}
	}
	return others
}

// Tracker tracks the portions that other VMs serve and chooses the VMs for new ones. It is not safe for concurrent
// use.
type Tracker struct {
	Node unit.NodeID
	// Rand returns a random number from 0 to 1.
	Rand func() float64

	openPortions map[unit.NodeID]int
	failures     map[unit.NodeID]failure
	// roundTrips estimates the time that the network takes for the call of a portion at a VM of a data centre. By VM,
	// the samples would be too few.
	roundTrips map[unit.CentreName]time.Duration
}

// failure holds how many portions in a row have failed at a VM (see RecordEnd), and until when it is excluded.
type failure struct {
	count         int
	excludedUntil time.Time
}

// New returns a tracker without any records for the VM named node.
func New(node unit.NodeID, rand func() float64) *Tracker {
	return &Tracker{
		Node:         node,
		Rand:         rand,
		openPortions: make(map[unit.NodeID]int),
		failures:     make(map[unit.NodeID]failure),
		roundTrips:   make(map[unit.CentreName]time.Duration),
	}
}

// Plan returns the portions of a request whose shards are divided into these groups.
func (t *Tracker) Plan(now time.Time, groups []Group) []Portion {
	plan := make([]Portion, 0, len(groups))
	for _, g := range groups {
		plan = append(plan, t.Assign(now, g))
	}
	return plan
}

// Assign returns the portion of one group, at the VM of the group with the lowest cost. A group whose VMs are all
// excluded is served locally.
func (t *Tracker) Assign(now time.Time, group Group) Portion {
	p := Portion{Group: group, Local: true}
	lowest := 0.0
	for _, c := range group.VMs {
		if now.Before(t.failures[c.Node].excludedUntil) {
			continue
		}
		if cost := t.cost(c); p.VM.Node == "" || cost < lowest {
			p.VM, lowest = c, cost
			p.Local = c.Node == t.Node
		}
	}
	return p
}

// cost returns the relative time that a VM is expected to need for one more portion.
func (t *Tracker) cost(c Candidate) float64 {
	cost := float64(t.openPortions[c.Node]+1) / float64(max(c.Power, minPower))
	if c.Node != t.Node {
		cost *= remoteCostFactor
	}
	return cost * (1 + costJitter*t.Rand())
}

// maxDoublings bounds the shift; maxExclusion is reached before it.
const maxDoublings = 8

// minPower is the minimum power that the cost is computed with. It also replaces an unknown power.
const minPower unit.Cores = 0.05

// RecordSent records that a portion has been sent to a VM. Each call must be followed by one of RecordEnd.
func (t *Tracker) RecordSent(node unit.NodeID) {
	t.openPortions[node]++
}

// RecordEnd records that a portion at a VM has ended. failed means that the VM returned no result in time, or left
// shards unsent although this VM knows endpoints of them; such a VM is excluded for a while. A success resets its
// failures.
func (t *Tracker) RecordEnd(now time.Time, node unit.NodeID, failed bool) {
	t.openPortions[node]--
	if t.openPortions[node] <= 0 {
		delete(t.openPortions, node)
	}
	if failed {
		f := t.failures[node]
		t.failures[node] = failure{
			count:         f.count + 1,
			excludedUntil: now.Add(min(initialExclusion<<min(f.count, maxDoublings), maxExclusion)),
		}
		return
	}
	delete(t.failures, node)
}

// RecordRoundTrip records how much longer a portion took than its VM, in that data centre, worked on it. Waiting for
// processors and new connections is part of it at times, so that a lower value counts at once and a higher one slowly.
func (t *Tracker) RecordRoundTrip(centre unit.CentreName, d time.Duration) {
	before, known := t.roundTrips[centre]
	if known && d > before {
		d = before + time.Duration(roundTripWeight*float64(d-before))
	}
	t.roundTrips[centre] = max(0, d)
}

// RoundTrip returns the time that the network takes for the call of a portion at a VM of that data centre, 0 while it is
// unknown.
func (t *Tracker) RoundTrip(centre unit.CentreName) time.Duration {
	return t.roundTrips[centre]
}
