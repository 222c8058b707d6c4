package load

import (
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
)

// Row holds the results of one flow. Sent is the sum of Whole, Partial, NotRun, Unknown, Late and NoResponse.
type Row struct {
	Flow Flow
	// Unsent counts queries that the in-flight limit held back until their timeout had passed or the run was cancelled.
	Unsent  int64
	Sent    int64
	Whole   int64
	Partial int64
	NotRun  int64
	Unknown int64
	// Late counts whole answers that arrived after the timeout.
	Late int64
	// NoResponse counts queries without a usable HTTP response: the connection was refused or broke, no response arrived
	// in time, or its body wasn't valid JSON.
	NoResponse int64
	// FirstError is the error of the first query that NoResponse counts.
	FirstError error
	// Invalid counts answers that break an invariant: they belong to another request, mix snapshots or state a wrong
	// coverage. They are counted by their result code too.
	Invalid int64
	Extra   Extra
	// Latency is the latency of the answered queries, from the intended send time.
	Latency *metric.Latency
}

// Extra sums up the attempts that the answers report.
type Extra struct {
	Attempts int64
	Hedges   int64
	Retries  int64
}

// FirstAttempts returns the number of attempts that were neither a hedge nor a retry.
func (e Extra) FirstAttempts() int64 {
	return e.Attempts - e.Hedges - e.Retries
}

// Share returns hedges and retries as a fraction of the first attempts.
func (e Extra) Share() float64 {
	return ratio(e.Hedges+e.Retries, e.FirstAttempts())
}

// ratio returns part divided by whole, or 0 if whole isn't positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// rowCounter counts results into a Row; it is safe for concurrent use.
type rowCounter struct {
	mu  sync.Mutex
	row Row
}

func newRowCounter(flow Flow) *rowCounter {
	return &rowCounter{row: Row{Flow: flow, Latency: metric.NewLatency()}}
}

// addUnsent counts a query that was not sent: the in-flight limit did not admit it before its deadline, or the run was
// cancelled.
func (r *rowCounter) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Unsent++
}

// addNoResponse counts a query without a usable response, and keeps err if it is the first one of the flow.
func (r *rowCounter) addNoResponse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Sent++
	r.row.NoResponse++
	if r.row.FirstError == nil {
		r.row.FirstError = err
	}
}

// addAnswer counts the answer to query id; latency is the time since the query's intended send time.
func (r *rowCounter) addAnswer(answer wireAnswer, id string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := &r.row
	sum.Sent++
	if violatesInvariant(answer, id) {
		sum.Invalid++
	}
	code := unit.Code(answer.Code)
	switch {
	case code == unit.CodeWhole && latency > sum.Flow.Timeout:
		sum.Late++
	case code == unit.CodeWhole:
		sum.Whole++
	case code == unit.CodePartial:
		sum.Partial++
	case code.Outcome() == unit.OutcomeNotRun:
		sum.NotRun++
	default:
		sum.Unknown++
	}
	sum.Extra.Attempts += answer.Extra.Attempts
	sum.Extra.Hedges += answer.Extra.Hedges
	sum.Extra.Retries += answer.Extra.Retries
	if code.Outcome() == unit.OutcomeAnswered {
		sum.Latency.Record(latency)
	}
}
