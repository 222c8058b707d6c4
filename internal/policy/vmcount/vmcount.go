// Package vmcount estimates how many entry VMs there are. Every VM periodically calls a few seeds; a seed counts its
// callers and returns the count. Limits that all VMs share are divided by the estimate, so it errs on the high side.
package vmcount

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/divide"
)

const (
	// InitialEstimate is the number of VMs assumed until a seed has returned a count.
	InitialEstimate = 16
	// minPeriod is the time between two calls of a VM in a small deployment. periodPerVM makes the period grow with
	// the number of VMs, so that a seed receives at most 1/periodPerVM calls per second however many there are.
	minPeriod   = 2 * time.Second
	periodPerVM = 20 * time.Millisecond
	// unsettledDelay is the time between two calls of a VM that has no settled count yet. startupDelay applies instead
	// during the first startupTime, because all VMs may have started together: until they are counted, this VM serves
	// large requests without the help of others.
	unsettledDelay = 500 * time.Millisecond
	startupDelay   = 150 * time.Millisecond
	startupTime    = 900 * time.Millisecond
	// maxMissedPeriods is how many periods a VM may go without a call before it is no longer counted.
	maxMissedPeriods = 3
	// shrinkAfter is how long seeds must return only lower counts before the estimate falls. The first settled count
	// applies at once.
	shrinkAfter = 8 * time.Second
)

// Census is what one VM knows about the number of VMs. It is not safe for concurrent use.
type Census struct {
	began   time.Time
	self    unit.NodeID
	callers map[unit.NodeID]lastCall
	// candidates is the last result of Candidates, from candidatesAt; nil after a caller has left.
	candidates   []divide.Candidate
	candidatesAt time.Time
	// estimate is the count in use, and confirmed is when a seed last returned a count at least as high.
	estimate  int
	confirmed time.Time
	// highest is the highest count returned by a seed since the estimate last fell.
	highest int
	// settled is set once a seed has returned a count that all VMs have had the time to be part of.
	settled bool
}

// lastCall is a caller and the time of its latest call.
type lastCall struct {
	divide.Candidate
	at time.Time
}

// New returns the census of a VM that starts at now.
func New(now time.Time, self unit.NodeID) *Census {
	return &Census{began: now, self: self, callers: make(map[unit.NodeID]lastCall), estimate: InitialEstimate}
}

// RecordCall records a call from a VM to this seed. The VM then counts for maxMissedPeriods.
func (c *Census) RecordCall(now time.Time, caller divide.Candidate) {
	c.callers[caller.Node] = lastCall{Candidate: caller, at: now}
}

// RemoveCaller removes a VM that is stopping, so that it is no longer counted.
func (c *Census) RemoveCaller(node unit.NodeID) {
	delete(c.callers, node)
	c.candidates = nil
}

// Count returns the number of VMs that have called recently, including this one. settled reports whether all VMs have
// had the time to call since this VM started. Count also removes the callers that have not called for
// maxMissedPeriods.
func (c *Census) Count(now time.Time) (n int, settled bool) {
	window := maxMissedPeriods * c.Period()
	for node, s := range c.callers {
		if now.Sub(s.at) > window {
			delete(c.callers, node)
		}
	}
	n = len(c.callers)
	if _, ok := c.callers[c.self]; !ok {
		n++
	}
	return n, now.Sub(c.began) > 2*c.Period()
}

const (
	// maxCandidates is how many VMs a seed lists for portions, so that the list stays small however many VMs there
	// are. minPerCentre is the least number that it lists of each data centre, enough for two groups of shards.
	maxCandidates = 36
	minPerCentre  = 6
	// candidatesRefresh is how long a seed returns the same list.
	candidatesRefresh = 100 * time.Millisecond
)

// Candidates returns the VMs that serve portions of requests, the most powerful ones of each data centre, in an order
// that is the same at all seeds that know the same VMs. The caller must not change the result.
func (c *Census) Candidates(now time.Time) []divide.Candidate {
	if c.candidates != nil && now.Sub(c.candidatesAt) < candidatesRefresh {
		return c.candidates
	}
	all := make([]divide.Candidate, 0, len(c.callers))
	centres := make(map[unit.CentreName]int)
	for _, s := range c.callers {
		all = append(all, s.Candidate)
		centres[s.Centre] = 0
	}
	slices.SortFunc(all, func(a, b divide.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Centre, b.Centre), cmp.Compare(b.Power, a.Power),
			cmp.Compare(nodeHash(a.Node), nodeHash(b.Node)),
		)
	})
	perCentre := max(minPerCentre, maxCandidates/max(1, len(centres)))
	all = slices.DeleteFunc(all, func(m divide.Candidate) bool {
		centres[m.Centre]++
		return centres[m.Centre] > perCentre
	})
	c.candidates, c.candidatesAt = all, now
	return all
}

// nodeHash returns a hash of a VM's id, which orders VMs of the same power.
func nodeHash(node unit.NodeID) uint64 {
	return xxhash.Sum64String(string(node))
}

// RecordCount records a count returned by a seed. A count that has not settled can only be too low, so it can raise
// the estimate but not lower it. A lower settled count is applied after shrinkAfter.
func (c *Census) RecordCount(now time.Time, n int, settled bool) {
	c.highest = max(c.highest, n)
	first := settled && !c.settled
	c.settled = c.settled || settled
	switch {
	case n >= c.estimate:
	case !settled:
		return
	case !first && now.Sub(c.confirmed) <= shrinkAfter:
		return
	}
	if n < c.estimate {
		c.highest = n
	}
	c.estimate = n
	c.confirmed = now
}

// Estimate returns the estimated number of VMs, InitialEstimate before a count has been applied.
func (c *Census) Estimate() int {
	return c.estimate
}

// Highest returns the highest count that a seed has returned since the estimate last fell, or 0 before the first
// count. There are at least as many VMs, also while Estimate still returns InitialEstimate.
func (c *Census) Highest() int {
	return c.highest
}

// NextCallDelay returns the time until this VM's next call to the seeds: Period once a count has settled, and less
// before that.
func (c *Census) NextCallDelay(now time.Time) time.Duration {
	switch {
	case c.settled:
		return c.Period()
	case now.Sub(c.began) < startupTime:
		return startupDelay
	default:
		return unsettledDelay
	}
}

// Period returns the time between two calls of a VM that has a settled count.
func (c *Census) Period() time.Duration {
	return max(minPeriod, time.Duration(c.Estimate())*periodPerVM)
}
