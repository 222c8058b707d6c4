package freshness

import "time"

const (
	// initialBackoff is the longest pause after the first failure, and maxBackoff that after many.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxDoublings keeps the shift in Backoff from overflowing.
	maxDoublings = 10
)

// Backoff returns the pause before the next try after a number of failures in a row. Its bound doubles with each
// failure. random, from 0 to 1, selects a pause between half the bound and the whole bound, so that VMs that failed
// together do not retry together.
func Backoff(failures int, random float64) time.Duration {
	bound := initialBackoff << min(max(failures-1, 0), maxDoublings)
	bound = min(bound, maxBackoff)
	return bound/2 + time.Duration(random*float64(bound/2))
}
