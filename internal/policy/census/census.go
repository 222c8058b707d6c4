// Package census estimates how many entry VMs there are. Every VM calls a few seeds from time to time; a seed counts its
// callers and tells them the count. The estimate divides bounds that all VMs share, so it errs to the high side.
package census

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// Unknown stands for the number of VMs while no seed has told one.
	Unknown = 16
	// periodLeast is the time between two calls of a VM in a small deployment, and callTime the seed's share of it for
	// each VM, so that a seed takes at most 1/callTime calls a second however many VMs there are.
	periodLeast = 2 * time.Second
	callTime    = 20 * time.Millisecond
	// missed is how many periods a VM may be silent before it is no longer counted.
	missed = 3
	// shrinkAfter is how long lower counts alone must have been told before the estimate falls.
	shrinkAfter = 8 * time.Second
)

// Census is what one VM knows. It is not safe for use by several goroutines.
type Census struct {
	began time.Time
	self  unit.NodeID
	heard map[unit.NodeID]time.Time
	// estimate is the count in use, 0 while there is none, and upheld when it was last told as high as that.
	estimate int
	upheld   time.Time
}

// New makes the census of a VM that starts now.
func New(now time.Time, self unit.NodeID) *Census {
	return &Census{began: now, self: self, heard: make(map[unit.NodeID]time.Time)}
}

// Heard takes a call of a VM.
func (c *Census) Heard(now time.Time, node unit.NodeID) {
	c.heard[node] = now
}

// Count gives the number of VMs that have called lately, this one included. settled says whether all have had the time
// to call since this VM started.
func (c *Census) Count(now time.Time) (n int, settled bool) {
	window := missed * c.Period()
	for node, at := range c.heard {
		if now.Sub(at) > window {
			delete(c.heard, node)
		}
	}
	n = len(c.heard)
	if _, ok := c.heard[c.self]; !ok {
		n++
	}
	return n, now.Sub(c.began) > 2*c.Period()
}

// Told takes a seed's settled count.
func (c *Census) Told(now time.Time, n int) {
	switch {
	case n >= c.estimate:
		c.estimate = n
		c.upheld = now
	case now.Sub(c.upheld) > shrinkAfter:
		c.estimate = n
		c.upheld = now
	}
}

// Estimate gives the number of VMs.
func (c *Census) Estimate() int {
	if c.estimate == 0 {
		return Unknown
	}
	return c.estimate
}

// Period gives the time between two calls of a VM.
func (c *Census) Period() time.Duration {
	return max(periodLeast, time.Duration(c.Estimate())*callTime)
}
