// Package census estimates how many entry VMs there are. Every VM calls a few seeds from time to time; a seed counts its
// callers and tells them the count. The estimate divides bounds that all VMs share, so it errs to the high side.
package census

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/divide"
)

const (
	// InitialEstimate stands for the number of VMs while no seed has told one.
	InitialEstimate = 16
	// minPeriod is the time between two calls of a VM in a small deployment, and callTime the seed's share of it for
	// each VM, so that a seed takes at most 1/callTime calls a second however many VMs there are.
	minPeriod   = 2 * time.Second
	periodPerVM = 20 * time.Millisecond
	// unsettledDelay is the time between two calls of a VM that does not know the count yet, and startPause, for the first
	// startTime, that of a VM which may have started together with all others: until they are counted, it serves large
	// requests alone.
	unsettledDelay = 500 * time.Millisecond
	startupDelay   = 150 * time.Millisecond
	startupTime    = 900 * time.Millisecond
	// maxMissedPeriods is how many periods a VM may be silent before it is no longer counted.
	maxMissedPeriods = 3
	// shrinkAfter is how long lower counts alone must have been told before the estimate falls.
	shrinkAfter = 8 * time.Second
)

// Census is what one VM knows. It is not safe for use by several goroutines.
type Census struct {
	began   time.Time
	self    unit.NodeID
	callers map[unit.NodeID]lastCall
	// estimate is the count in use, and upheld when it was last told as high as that.
	estimate  int
	confirmed time.Time
	// highest is the highest count that was told since the estimate has fallen last.
	highest int
	// settled is set once a seed has told a count that all VMs have had the time to enter.
	settled bool
}

// Caller is a VM that calls a seed.
type Caller struct {
	divide.Candidate
	Centre unit.CentreName
}

// lastCall is a caller and when it has called last.
type lastCall struct {
	Caller
	at time.Time
}

// New makes the census of a VM that starts now.
func New(now time.Time, self unit.NodeID) *Census {
	return &Census{began: now, self: self, callers: make(map[unit.NodeID]lastCall), estimate: InitialEstimate}
}

// RecordCall takes a call of a VM.
func (c *Census) RecordCall(now time.Time, caller Caller) {
	c.callers[caller.Node] = lastCall{Caller: caller, at: now}
}

// RemoveCaller takes that a VM is stopping.
func (c *Census) RemoveCaller(node unit.NodeID) {
	delete(c.callers, node)
}

// Count gives the number of VMs that have called lately, this one included. settled says whether all have had the time
// to call since this VM started.
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

// cellSize is about how many VMs share requests. A cell has to be large enough to divide the largest requests, and small
// enough that a seed can tell each caller its cell.
const cellSize = 14

// Candidates gives the VMs of a caller's data centre that it shares requests with, itself included, in an order that is the
// same for all of them.
func (c *Census) Candidates(caller Caller) []divide.Candidate {
	var all []divide.Candidate
	for _, s := range c.callers {
		if s.Centre == caller.Centre {
			all = append(all, s.Candidate)
		}
	}
	cells := max(1, uint64(len(all)+cellSize/2)/cellSize)
	ownCell := nodeHash(caller.Node) % cells
	all = slices.DeleteFunc(all, func(m divide.Candidate) bool { return nodeHash(m.Node)%cells != ownCell })
	slices.SortFunc(all, func(a, b divide.Candidate) int { return cmp.Compare(nodeHash(a.Node), nodeHash(b.Node)) })
	return all
}

// nodeHash gives a number that is fixed for a VM.
func nodeHash(node unit.NodeID) uint64 {
	return xxhash.Sum64String(string(node))
}

// RecordCount takes a seed's count. One that has not settled can only be too low, so it only raises the estimate.
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

// Estimate gives the number of VMs.
func (c *Census) Estimate() int {
	return c.estimate
}

// Highest gives the highest count that a seed has told, 0 while none has: there are as many VMs at the least, also while
// the estimate is a mere guess.
func (c *Census) Highest() int {
	return c.highest
}

// NextCallDelay gives the time to this VM's next call.
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

// Period gives the time between two calls of a VM that knows the count.
func (c *Census) Period() time.Duration {
	return max(minPeriod, time.Duration(c.Estimate())*periodPerVM)
}
