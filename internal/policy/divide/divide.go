// Package divide decides how the shards of one request are divided among entry VMs of a data centre, so that the work of
// a large fan-out is done by several processors at once.
package divide

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// minPortionShards is the least number of shards of a portion: with fewer of them, the call of another VM costs as much
	// as it saves.
	minPortionShards = 12
	// minGroupVMs is how many VMs serve a group of shards at the least, so that the loss of one leaves another.
	minGroupVMs = 2
	// initialExclusion is how long a VM that has not answered is left out; each further time in a row doubles it up to
	// failedMost, since each try costs a request its answer.
	initialExclusion = 3 * time.Second
	maxExclusion     = 24 * time.Second
	// remoteCostFactor is what a portion at another VM costs more than one here, for the call.
	remoteCostFactor = 1.3
	// costJitter is the share of the cost that is drawn at random, so that the VMs do not all choose alike.
	costJitter = 0.4
)

// Candidate is an entry VM that shares requests with others of its data centre.
type Candidate struct {
	Node    unit.NodeID
	Address unit.Address
	// Power is the share of a processor core that the VM has.
	Power unit.Cores
}

// Portion is a part of a request's shards, from the shard First up to and without the shard End, and the VM that serves
// it. Self is set for a portion that is served here.
type Portion struct {
	VM    Candidate
	Local bool
	First int
	End   int
}

// Tracker knows how the portions at other VMs have gone. It is not safe for use by several goroutines.
type Tracker struct {
	Node unit.NodeID
	// Rand gives a number from 0 to 1.
	Rand func() float64

	openPortions map[unit.NodeID]int
	failures     map[unit.NodeID]failure
}

// failure is how often in a row a VM has not answered, and until when it is left out.
type failure struct {
	count         int
	excludedUntil time.Time
}

// New makes a tracker that knows nothing.
func New(node unit.NodeID, rand func() float64) *Tracker {
	return &Tracker{Node: node, Rand: rand, openPortions: make(map[unit.NodeID]int), failures: make(map[unit.NodeID]failure)}
}

// GroupCount gives into how many portions that many shards are divided among that many VMs.
func GroupCount(shards, candidates int) int {
	return max(1, min(shards/minPortionShards, candidates/minGroupVMs))
}

// Serves says whether a VM is of the group that serves a shard. A VM that is not among the mates serves all.
func Serves(self unit.NodeID, candidates []Candidate, shards, shard int) bool {
	index := slices.IndexFunc(candidates, func(m Candidate) bool { return m.Node == self })
	if index < 0 {
		return true
	}
	groups := GroupCount(shards, len(candidates))
	group := index % groups
	return shard >= group*shards/groups && shard < (group+1)*shards/groups
}

// Plan divides the shards of a request. Each group of shards is served by the same few VMs for all requests, which so
// keep few connections and know their endpoints well; the mates are in the same order at every VM.
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

// choose gives the VM of a group that is expected to be done first; ok is false when none can be asked.
func (t *Tracker) choose(now time.Time, group, groups int, candidates []Candidate) (best Candidate, ok bool) {
	lowest := 0.0
	for i := group; i < len(candidates); i += groups {
		m := candidates[i]
		if now.Before(t.failures[m.Node].excludedUntil) {
			continue
		}
		if cost := t.cost(m); !ok || cost < lowest {
			best, lowest, ok = m, cost, true
		}
	}
	return best, ok
}

func (t *Tracker) cost(m Candidate) float64 {
	cost := float64(t.openPortions[m.Node]+1) / float64(max(m.Power, minPower))
	if m.Node != t.Node {
		cost *= remoteCostFactor
	}
	return cost * (1 + costJitter*t.Rand())
}

// maxDoublings bounds the shift; failedMost is reached before.
const maxDoublings = 8

// minPower stands for a power that is not known.
const minPower unit.Cores = 0.05

// RecordSent takes the start of a portion at a VM.
func (t *Tracker) RecordSent(node unit.NodeID) {
	t.openPortions[node]++
}

// RecordEnd takes the end of a portion at a VM; failed says that it has not answered.
func (t *Tracker) RecordEnd(now time.Time, node unit.NodeID, failed bool) {
	t.openPortions[node]--
	if t.openPortions[node] <= 0 {
		delete(t.openPortions, node)
	}
	if failed {
		f := t.failures[node]
		t.failures[node] = failure{count: f.count + 1, excludedUntil: now.Add(min(initialExclusion<<min(f.count, maxDoublings), maxExclusion))}
		return
	}
	delete(t.failures, node)
}
