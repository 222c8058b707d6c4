// Package health tracks the endpoints by the results of an entry VM's own attempts: which endpoints to avoid for a
// while, which snapshots they lack, how long the attempts of a search take, and how many hedges and retries it may
// add.
//
// It ignores the endpoints' own reports, because they can be late or misleading.
package health

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// hedgeQuantile is the quantile of a search's latencies that is used as the hedge delay.
	hedgeQuantile = 0.97
	// typicalQuantile is the quantile that is used as the typical latency of a search.
	typicalQuantile = 0.5
	// restartQuantile is the quantile that is used as the expected duration of a whole query when it may be
	// restarted.
	restartQuantile = 0.99
	// initialHedgeDelay is the hedge delay while there are too few samples for a quantile. Without one, attempts at an
	// endpoint that never replies would hold all queries that may run at once until their deadlines.
	initialHedgeDelay = 500 * time.Millisecond
	// deadlineFailureRatio is the ratio of an attempt's duration to the hedge delay above which a missed deadline
	// counts as the endpoint's failure. Below it, the caller's deadline was too short.
	deadlineFailureRatio = 2
	// forgetAfter is how long the state of an unused endpoint is kept.
	forgetAfter = 10 * time.Minute
	// sweepPeriod is the time between two sweeps of unused endpoints.
	sweepPeriod = time.Minute
)

// Condition is the condition of one endpoint.
type Condition struct {
	// Ejected endpoints should be chosen only after all others.
	Ejected bool
	// Failing endpoints have failed and have not recovered since.
	Failing bool
	// OpenAttempts is the number of open attempts at the endpoint.
	OpenAttempts int
	// Latency is the recent latency of the endpoint's replies, 0 if there are none.
	Latency time.Duration
	// MissingSnapshots lists the snapshots that the endpoint has recently refused because it lacks them.
	MissingSnapshots []unit.SnapshotID
}

// Result is the result of one attempt.
type Result struct {
	Search   unit.SearchName
	Endpoint unit.EndpointID
	Snapshot unit.SnapshotID
	Code     unit.Code
	// Took is the time from the attempt's start to its end.
	Took time.Duration
}

// Reservation holds the extra attempts reserved for one query and the times that decide when they are sent.
type Reservation struct {
	// HedgeAfter is the age at which an attempt is hedged.
	HedgeAfter time.Duration
	// Allowance is the number of hedges and retries that are reserved for the query.
	Allowance int
	// ExpectedDuration is how long a whole query is expected to take; 0 means that there are too few samples.
	ExpectedDuration time.Duration
}

// searchState is the state of one search.
type searchState struct {
	latencies histogram
	budget    budget
}

// Tracker holds the state of all endpoints and searches. It is not safe for concurrent use.
type Tracker struct {
	endpoints map[unit.EndpointID]*endpointState
	searches  map[unit.SearchName]*searchState
	lastSweep time.Time
}

// New returns a tracker without any records.
func New() *Tracker {
	return &Tracker{
		endpoints: make(map[unit.EndpointID]*endpointState),
		searches:  make(map[unit.SearchName]*searchState),
	}
}

// RecordSent records that an attempt has been sent to an endpoint, and removes the state of unused endpoints from
// time to time.
func (t *Tracker) RecordSent(now time.Time, id unit.EndpointID) {
	t.sweep(now)
	e := t.endpoint(id)
	e.openAttempts++
	e.lastUsed = now
}

// RecordResult records the result of an attempt that RecordSent has recorded. The code decides what it means for the
// endpoint: a success, a failure, a refusal, a missing snapshot, an ejection (CodeDraining), or only a lower bound of
// the latency (attempts that were cancelled or reached their deadline). A missed deadline is also a failure if the
// attempt took much longer than usual, see deadlineFailureRatio. Other codes say nothing about the endpoint.
func (t *Tracker) RecordResult(now time.Time, r Result) {
	e := t.endpoint(r.Endpoint)
	e.openAttempts--
	e.lastUsed = now
	s := t.search(r.Search)
	switch r.Code {
	case unit.CodeWhole:
		s.latencies.add(now, r.Took)
		e.recordSuccess(now, r.Snapshot, r.Took)
	case unit.CodeCancelled, unit.CodeNotSent, unit.CodeTooLate:
		t.recordUnfinished(now, e, s, r)
	case unit.CodeSnapshotAbsent:
		e.recordMissing(now, r.Snapshot)
	case unit.CodeDraining:
		e.eject(now)
	case unit.CodeDeadline:
		if after, ok := s.latencies.quantile(hedgeQuantile); ok && r.Took > deadlineFailureRatio*after {
			e.recordFailure(now)
		}
		t.recordUnfinished(now, e, s, r)
	case unit.CodeRefused:
		typical, _ := s.latencies.quantile(typicalQuantile)
		e.recordRefusal(now, typical)
	case unit.CodeNotConnected, unit.CodeConnection, unit.CodeBadReply, unit.CodeEndpointError:
		e.recordFailure(now)
	}
}

// recordUnfinished records an attempt that ended before its reply, so that only a lower bound of its latency is
// known. It enters the histogram only if it lies in the tail in any case, so that cancelled attempts don't lower the
// hedge delay.
func (t *Tracker) recordUnfinished(now time.Time, e *endpointState, s *searchState, r Result) {
	e.addLowerBound(now, r.Took)
	if after, ok := s.latencies.quantile(hedgeQuantile); ok && r.Took >= after {
		s.latencies.add(now, r.Took)
	}
}

// Condition returns the condition of an endpoint for a search; it is zero for an unknown endpoint.
func (t *Tracker) Condition(now time.Time, search unit.SearchName, id unit.EndpointID) Condition {
	e := t.endpoints[id]
	if e == nil {
		return Condition{}
	}
	var typical time.Duration
	if s := t.searches[search]; s != nil {
		typical, _ = s.latencies.quantile(typicalQuantile)
	}
	return Condition{
		Ejected:          e.isEjected(now),
		Failing:          e.isFailing(),
		OpenAttempts:     e.openAttempts,
		Latency:          e.expectedLatency(now, typical),
		MissingSnapshots: e.missingSnapshots(now),
	}
}

// Reserve reserves extra attempts for a query over this many shards. The caller must return those that it doesn't use
// with Refund.
func (t *Tracker) Reserve(now time.Time, search unit.SearchName, shards int) Reservation {
	s := t.search(search)
	s.latencies.decay(now)
	reservation := Reservation{Allowance: s.budget.reserve(shards, s.latencies.isSlow())}
	reservation.HedgeAfter = s.hedgeDelay()
	reservation.ExpectedDuration, _ = s.latencies.quantile(restartQuantile)
	return reservation
}

// hedgeDelay returns the age at which an attempt of the search is hedged.
func (s *searchState) hedgeDelay() time.Duration {
	if after, ok := s.latencies.quantile(hedgeQuantile); ok {
		return after
	}
	return initialHedgeDelay
}

// Refund puts back the n extra attempts that a query has reserved with Reserve and not used, when the query has ended.
func (t *Tracker) Refund(search unit.SearchName, n int) {
	t.search(search).budget.refund(n)
}

// endpoint returns the state of an endpoint, which it creates if there is none.
func (t *Tracker) endpoint(id unit.EndpointID) *endpointState {
	e := t.endpoints[id]
	if e == nil {
		e = &endpointState{}
		t.endpoints[id] = e
	}
	return e
}

// search returns the state of a search, which it creates if there is none.
func (t *Tracker) search(name unit.SearchName) *searchState {
	s := t.searches[name]
	if s == nil {
		s = &searchState{budget: budget{tokens: maxTokens}}
		t.searches[name] = s
	}
	return s
}

// sweep removes, once per sweepPeriod, the endpoints that have no open attempts and have not been used for
// forgetAfter.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepPeriod {
		return
	}
	t.lastSweep = now
	for id, e := range t.endpoints {
		if e.openAttempts == 0 && now.Sub(e.lastUsed) > forgetAfter {
			delete(t.endpoints, id)
		}
	}
}
