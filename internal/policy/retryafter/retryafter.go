// Package retryafter decides after what delay a caller should retry a refused request.
package retryafter

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// minBusyDelay and maxBusyDelay bound the delay after a refusal because the endpoints are full. It is about twice
	// the typical latency because by then their slots have been freed.
	minBusyDelay = 10 * time.Millisecond
	maxBusyDelay = 500 * time.Millisecond
	// defaultDelay is the delay after other refusals, such as while no configuration or endpoint is known. The
	// registry answers within it.
	defaultDelay = 250 * time.Millisecond
	// stoppingDelay is the delay after a refusal because this VM is stopping. Another VM can serve the request at once.
	stoppingDelay = 10 * time.Millisecond
	// jitter is the largest share by which a delay is extended at random, so that callers don't all retry at once.
	jitter = 0.5
	// returnSteps is the number of steps over which callers return after a backoff of the endpoints, one for each urgency
	// and the last for all others. A step is that part of the backoff, from minReturnStep to maxReturnStep.
	returnSteps   = 8
	minReturnStep = 10 * time.Millisecond
	maxReturnStep = 250 * time.Millisecond
)

// RetryAfter returns how long a caller should wait before it retries a request that was refused with code. typical is
// the typical latency of the route. It is used only for CodeRefused and CodeNotConnected; after other codes but
// CodeStopping the delay is defaultDelay. random is a number from 0 to 1 that sets the jitter.
func RetryAfter(code unit.Code, typical time.Duration, random float64) time.Duration {
	delay := defaultDelay
	switch code {
	case unit.CodeRefused, unit.CodeNotConnected:
		delay = min(max(2*typical, minBusyDelay), maxBusyDelay)
	case unit.CodeStopping:
		delay = stoppingDelay
	}
	return time.Duration(float64(delay) * (1 + jitter*random))
}

// AfterBackoff returns how long a caller should wait before it retries a request that no endpoint accepts for wait. More
// urgent requests return first; random is a number from 0 to 1 that spreads those of one urgency.
func AfterBackoff(wait time.Duration, urgency unit.Urgency, random float64) time.Duration {
	step := min(max(wait/returnSteps, minReturnStep), maxReturnStep)
	position := float64(min(max(int(urgency), 0), returnSteps-1)) + random
	return wait + time.Duration(position*float64(step))
}

const (
	// minSpread and maxSpread bound the time over which the callers of one urgency return after a refusal for lack of
	// room.
	minSpread = 50 * time.Millisecond
	maxSpread = time.Second
)

// AfterOverload returns how long a caller should wait before it retries a request that was refused because work waits at the
// endpoints for wait, and has done so for pressed. The longer there has been too little room, the wider the return is
// spread. More urgent requests return first; random is a number from 0 to 1 that spreads those of one urgency.
func AfterOverload(wait, pressed time.Duration, urgency unit.Urgency, random float64) time.Duration {
	spread := min(max(pressed/4, minSpread), maxSpread)
	position := float64(min(max(int(urgency), 0), returnSteps-1))/returnSteps + random
	return max(wait, minBusyDelay) + time.Duration(position*float64(spread))
}
