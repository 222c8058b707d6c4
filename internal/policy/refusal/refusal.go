// Package refusal decides when a caller whose request was refused is to come back.
package refusal

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// minBusyDelay and fullMost bound the pause after a refusal by full endpoints, which lasts about two usual latencies
	// because that is when their slots turn over.
	minBusyDelay = 10 * time.Millisecond
	maxBusyDelay = 500 * time.Millisecond
	// defaultDelay is the pause while no configuration or endpoint is known; the registry answers within it.
	defaultDelay = 250 * time.Millisecond
	// jitter is the share of a pause that is drawn at random, so that callers do not come back together.
	jitter = 0.5
)

// RetryAfter gives the pause that is worth waiting for before a request that was refused with code is sent again. usual
// is the usual latency of the route, and random a number from 0 to 1.
func RetryAfter(code unit.Code, typical time.Duration, random float64) time.Duration {
	delay := defaultDelay
	if code == unit.CodeRefused || code == unit.CodeNotConnected {
		delay = min(max(2*typical, minBusyDelay), maxBusyDelay)
	}
	return time.Duration(float64(delay) * (1 + jitter*random))
}
