// Package refusal decides when a caller whose request was refused is to come back.
package refusal

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// fullLeast and fullMost bound the pause after a refusal by full endpoints, which lasts about two usual latencies
	// because that is when their slots turn over.
	fullLeast = 10 * time.Millisecond
	fullMost  = 500 * time.Millisecond
	// unknownPause is the pause while no configuration or endpoint is known; the registry answers within it.
	unknownPause = 250 * time.Millisecond
	// spread is the share of a pause that is drawn at random, so that callers do not come back together.
	spread = 0.5
)

// ComeBack gives the pause that is worth waiting for before a request that was refused with code is sent again. usual
// is the usual latency of the route, and random a number from 0 to 1.
func ComeBack(code unit.Code, usual time.Duration, random float64) time.Duration {
	pause := unknownPause
	if code == unit.CodeRefused || code == unit.CodeNotConnected {
		pause = min(max(2*usual, fullLeast), fullMost)
	}
	return time.Duration(float64(pause) * (1 + spread*random))
}
