package freshness

import "time"

const (
	// initialBackoff is the longest pause after one failure, and maxBackoff that after many.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxDoublings keeps the shift below from overflowing.
	maxDoublings = 10
)

// Backoff gives the pause after that many failures in a row. The bound doubles with each; random, from 0 to 1, picks
// a pause from half the bound to all of it, so that nodes that failed together do not return together.
func Backoff(failures int, random float64) time.Duration {
	bound := initialBackoff << min(max(failures-1, 0), maxDoublings)
	bound = min(bound, maxBackoff)
	return bound/2 + time.Duration(random*float64(bound/2))
}
