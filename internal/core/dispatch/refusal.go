package dispatch

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/retryafter"
)

// refusal returns the answer to a request that no endpoint has run. If too few shards can be served because their
// endpoints have turned requests away, the code is CodeRefused and the caller may return once enough of them accept
// requests again.
func (d *Dispatcher) refusal(j *job, code unit.Code) Answer {
	switch code {
	case unit.CodeNoEndpoint, unit.CodeNotConnected, unit.CodeRefused:
		if wait := d.backoffWait(j); wait > 0 {
			delay := retryafter.AfterBackoff(wait, j.route.Urgency, d.Rand())
			return Answer{Code: unit.CodeRefused, RetryAfter: delay}
		}
	}
	return Answer{Code: code, RetryAfter: d.retryAfter(code, j.route)}
}

// backoffWait returns how long it takes until enough shards of a job for an answer have an endpoint that accepts
// requests. It is 0 if they have one now, or if some have no endpoint at all and too few are left.
func (d *Dispatcher) backoffWait(j *job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	times := make([]time.Time, 0, len(j.services))
	for _, s := range j.services {
		if at, ok := d.endpointTracker.AvailableAt(now, j.view.Endpoints[s]); ok {
			times = append(times, at)
		}
	}
	needed := max(1, gather.MinShards(j.params.MinShare, len(j.services)))
	if needed > len(times) {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[needed-1].Sub(now)
}

// unwanted reports whether there are endpoints and none of them takes requests from this VM.
func (d *Dispatcher) unwanted(endpoints []directory.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointTracker.Unwanted(d.Now(), endpoints)
}
