// Package divide decides how the shards of one request are divided among entry VMs of a data centre, so that the work of
// a large fan-out is done by several processors at once.
package divide

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// portionLeast is the least number of shards of a portion: with fewer of them, the call of another VM costs as much
	// as it saves.
	portionLeast = 12
	// perGroup is how many VMs serve a group of shards at the least, so that the loss of one leaves another.
	perGroup = 2
	// failedFirst is how long a VM that has not answered is left out; each further time in a row doubles it up to
	// failedMost, since each try costs a request its answer.
	failedFirst = 3 * time.Second
	failedMost  = 24 * time.Second
	// remoteFactor is what a portion at another VM costs more than one here, for the call.
	remoteFactor = 1.3
	// spread is the share of the cost that is drawn at random, so that the VMs do not all choose alike.
	spread = 0.4
)

// Mate is an entry VM that shares requests with others of its data centre.
type Mate struct {
	Node    unit.NodeID
	Address unit.Address
	// Power is the share of a processor core that the VM has.
	Power unit.Cores
}

// Portion is a part of a request's shards, from the shard First up to and without the shard End, and the VM that serves
// it. Self is set for a portion that is served here.
type Portion struct {
	Mate  Mate
	Self  bool
	First int
	End   int
}

// Tracker knows how the portions at other VMs have gone. It is not safe for use by several goroutines.
type Tracker struct {
	Node unit.NodeID
	// Rand gives a number from 0 to 1.
	Rand func() float64

	open   map[unit.NodeID]int
	failed map[unit.NodeID]failure
}

// failure is how often in a row a VM has not answered, and until when it is left out.
type failure struct {
	times int
	until time.Time
}

// New makes a tracker that knows nothing.
func New(node unit.NodeID, rand func() float64) *Tracker {
	return &Tracker{Node: node, Rand: rand, open: make(map[unit.NodeID]int), failed: make(map[unit.NodeID]failure)}
}

// Groups gives into how many portions that many shards are divided among that many VMs.
func Groups(shards, mates int) int {
	return max(1, min(shards/portionLeast, mates/perGroup))
}

// Serves says whether a VM is of the group that serves a shard. A VM that is not among the mates serves all.
func Serves(self unit.NodeID, mates []Mate, shards, shard int) bool {
	at := slices.IndexFunc(mates, func(m Mate) bool { return m.Node == self })
	if at < 0 {
		return true
	}
	groups := Groups(shards, len(mates))
	g := at % groups
	return shard >= g*shards/groups && shard < (g+1)*shards/groups
}

// Plan divides the shards of a request. Each group of shards is served by the same few VMs for all requests, which so
// keep few connections and know their endpoints well; the mates are in the same order at every VM.
func (t *Tracker) Plan(now time.Time, shards int, mates []Mate) []Portion {
	groups := Groups(shards, len(mates))
	if groups == 1 {
		return []Portion{{Self: true, End: shards}}
	}
	plan := make([]Portion, 0, groups)
	for g := range groups {
		p := Portion{First: g * shards / groups, End: (g + 1) * shards / groups}
		if mate, ok := t.choose(now, g, groups, mates); ok {
			p.Mate = mate
			p.Self = mate.Node == t.Node
		} else {
			p.Self = true
		}
		plan = append(plan, p)
	}
	return plan
}

// choose gives the VM of a group that is expected to be done first; ok is false when none can be asked.
func (t *Tracker) choose(now time.Time, group, groups int, mates []Mate) (best Mate, ok bool) {
	least := 0.0
	for i := group; i < len(mates); i += groups {
		m := mates[i]
		if now.Before(t.failed[m.Node].until) {
			continue
		}
		if cost := t.cost(m); !ok || cost < least {
			best, least, ok = m, cost, true
		}
	}
	return best, ok
}

func (t *Tracker) cost(m Mate) float64 {
	cost := float64(t.open[m.Node]+1) / float64(max(m.Power, leastPower))
	if m.Node != t.Node {
		cost *= remoteFactor
	}
	return cost * (1 + spread*t.Rand())
}

// maxDoublings bounds the shift; failedMost is reached before.
const maxDoublings = 8

// leastPower stands for a power that is not known.
const leastPower unit.Cores = 0.05

// Sent takes the start of a portion at a VM.
func (t *Tracker) Sent(node unit.NodeID) {
	t.open[node]++
}

// Ended takes the end of a portion at a VM; failed says that it has not answered.
func (t *Tracker) Ended(now time.Time, node unit.NodeID, failed bool) {
	t.open[node]--
	if t.open[node] <= 0 {
		delete(t.open, node)
	}
	if failed {
		f := t.failed[node]
		t.failed[node] = failure{times: f.times + 1, until: now.Add(min(failedFirst<<min(f.times, maxDoublings), failedMost))}
		return
	}
	delete(t.failed, node)
}
