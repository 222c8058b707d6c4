// Package divide decides how the shards of one request are divided among the entry VMs of a data centre, so that
// several processors share the work of a large fan-out.
package divide

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// minPortionShards is the minimum number of shards of a portion. With fewer, calling another VM costs as much as it
	// saves.
	minPortionShards = 12
	// minGroupVMs is the minimum number of VMs that serve a group of shards, so that the group survives the loss of one
	// VM.
	minGroupVMs = 2
	// initialExclusion is how long a VM is excluded after it has not answered a portion. The time doubles with each
	// further failure in a row, up to maxExclusion, because each try costs a request its answer.
	initialExclusion = 3 * time.Second
	maxExclusion     = 24 * time.Second
	// remoteCostFactor is the cost of a portion at another VM relative to one served locally, because of the call.
	remoteCostFactor = 1.3
	// costJitter is the largest share by which a cost is increased at random, so that the VMs don't all choose the
	// same one.
	costJitter = 0.4
)

// Candidate is an entry VM that can serve portions of requests for other VMs of its data centre.
type Candidate struct {
	Node    unit.NodeID
	Address unit.Address
	// Power is the processor capacity of the VM in cores; it may be less than one.
	Power unit.Cores
}

// Portion describes the shards of a request from First up to but not including End, and the VM that serves them. Local
// is set if this VM serves the portion itself.
type Portion struct {
	VM    Candidate
	Local bool
	First int
	End   int
}

// Tracker tracks the portions that other VMs serve and chooses the VMs for new ones. It is not safe for concurrent
// use.
type Tracker struct {
	Node unit.NodeID
	// Rand returns a random number from 0 to 1.
	Rand func() float64

	openPortions map[unit.NodeID]int
	failures     map[unit.NodeID]failure
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
	}
}

// GroupCount returns the number of portions into which the shards of a request are divided for this many candidates. It
// is 1 if there are too few shards or candidates to divide the request.
func GroupCount(shards, candidates int) int {
	return max(1, min(shards/minPortionShards, candidates/minGroupVMs))
}

// Serves reports whether a VM belongs to the group that serves a shard. A VM that is not a candidate serves all
// shards.
func Serves(self unit.NodeID, candidates []Candidate, shards, shard int) bool {
	index := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Node == self })
	if index < 0 {
		return true
	}
	groups := GroupCount(shards, len(candidates))
	group := index % groups
	return shard >= group*shards/groups && shard < (group+1)*shards/groups
}

// Plan divides the shards of a request into portions. Each group of shards is served by the same few VMs for all
// requests, so that these VMs keep few connections and have recent records of their endpoints. The candidates must be
// in the same order on every VM. A portion whose VMs are all excluded is served locally.
func (t *Tracker) Plan(now time.Time, shards int, candidates []Candidate) []Portion {
	groups := GroupCount(shards, len(candidates))
	if groups == 1 {
		return []Portion{{Local: true, End: shards}}
	}
	plan := make([]Portion, 0, groups)
	for g := range groups {
		p := Portion{First: g * shards / groups, End: (g + 1) * shards / groups}
		if vm, ok := t.choose(now, g, groups, candidates); ok {
			p.VM = vm
			p.Local = vm.Node == t.Node
		} else {
			p.Local = true
		}
		plan = append(plan, p)
	}
	return plan
}

// choose returns the VM of a group with the lowest cost; ok is false when all VMs of the group are excluded.
func (t *Tracker) choose(now time.Time, group, groups int, candidates []Candidate) (best Candidate, ok bool) {
	lowest := 0.0
	for i := group; i < len(candidates); i += groups {
		c := candidates[i]
		if now.Before(t.failures[c.Node].excludedUntil) {
			continue
		}
		if cost := t.cost(c); !ok || cost < lowest {
			best, lowest, ok = c, cost, true
		}
	}
	return best, ok
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
