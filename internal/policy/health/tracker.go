// Package health keeps what an entry VM's own attempts say of the endpoints: which to ask last for a while, which lack
// a snapshot, how long a search's attempts take, and how many hedges and retries it may add.
//
// Reports of the endpoints themselves play no part, since they lag or mislead.
package health

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// hedgeQuantile is the share of a search's attempts that end before they are hedged.
	hedgeQuantile = 0.97
	// typicalQuantile gives the usual latency of a search.
	typicalQuantile = 0.5
	// restartQuantile is the latency by which a repeat of a whole query is judged.
	restartQuantile = 0.99
	// deadlineFailureRatio is the ratio to the hedge delay from which an attempt that ran into its deadline is the endpoint's
	// failure and not the caller's short deadline.
	deadlineFailureRatio = 2
	// forgetAfter is how long an unused endpoint is remembered.
	forgetAfter = 10 * time.Minute
	// sweepPeriod is the time between two sweeps of the unused endpoints.
	sweepPeriod = time.Minute
)

// Condition is what is known of one endpoint.
type Condition struct {
	// Ejected endpoints are to be asked last.
	Ejected bool
	// Failing endpoints have failed and not been readmitted since.
	Failing bool
	// OpenAttempts is how many attempts are open there.
	OpenAttempts int
	// Latency is the recent latency of its replies, 0 when there is none.
	Latency time.Duration
	// MissingSnapshots are the snapshots that it has lately said it does not hold.
	MissingSnapshots []unit.SnapshotID
}

// Result is the end of one attempt.
type Result struct {
	Search   unit.SearchName
	Endpoint unit.EndpointID
	Snapshot unit.SnapshotID
	Code     unit.Code
	// Took is the time from the attempt's start to its end.
	Took time.Duration
}

// Reservation bounds the extra attempts of one query.
type Reservation struct {
	// HedgeAfter is the age at which an attempt is hedged; 0 means that too little is known.
	HedgeAfter time.Duration
	// Allowance is how many hedges and retries are set aside.
	Allowance int
	// ExpectedDuration is how long a whole query is expected to take.
	ExpectedDuration time.Duration
}

// searchState is what is known of one search.
type searchState struct {
	latencies histogram
	budget    budget
}

// Tracker holds the state of all endpoints and searches. It is not safe for use by several goroutines.
type Tracker struct {
	endpoints map[unit.EndpointID]*endpointState
	searches  map[unit.SearchName]*searchState
	lastSweep time.Time
}

// New makes a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{
		endpoints: make(map[unit.EndpointID]*endpointState),
		searches:  make(map[unit.SearchName]*searchState),
	}
}

// RecordSent takes the start of an attempt.
func (t *Tracker) RecordSent(now time.Time, id unit.EndpointID) {
	t.sweep(now)
	e := t.endpoint(id)
	e.openAttempts++
	e.lastUsed = now
}

// RecordResult takes the end of an attempt.
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

// recordUnfinished takes an attempt of which only the least latency is known. It counts in the distribution only when it is
// in the tail in any case, so that cancelled attempts do not pull the hedge delay down.
func (t *Tracker) recordUnfinished(now time.Time, e *endpointState, s *searchState, r Result) {
	e.addLowerBound(now, r.Took)
	if after, ok := s.latencies.quantile(hedgeQuantile); ok && r.Took >= after {
		s.latencies.add(now, r.Took)
	}
}

// Condition gives what is known of an endpoint of that search.
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

// Reserve gives the pace of a query over that many shards; Refund takes back what it has not used.
func (t *Tracker) Reserve(now time.Time, search unit.SearchName, shards int) Reservation {
	s := t.search(search)
	s.latencies.decay(now)
	reservation := Reservation{Allowance: s.budget.reserve(shards, s.latencies.isSlow())}
	reservation.HedgeAfter, _ = s.latencies.quantile(hedgeQuantile)
	reservation.ExpectedDuration, _ = s.latencies.quantile(restartQuantile)
	return reservation
}

// Refund takes back the part of a query's allowance that it has not used.
func (t *Tracker) Refund(search unit.SearchName, n int) {
	t.search(search).budget.refund(n)
}

func (t *Tracker) endpoint(id unit.EndpointID) *endpointState {
	e := t.endpoints[id]
	if e == nil {
		e = &endpointState{}
		t.endpoints[id] = e
	}
	return e
}

func (t *Tracker) search(name unit.SearchName) *searchState {
	s := t.searches[name]
	if s == nil {
		s = &searchState{budget: budget{tokens: maxTokens}}
		t.searches[name] = s
	}
	return s
}

// sweep forgets the endpoints that have not been used for long.
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
