package load

import (
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
)

// Row sums up one flow. Sent is the sum of Whole, Partial, NotRun, Unknown, Late and Cut.
type Row struct {
	Flow Flow
	// Unsent are queries that found no room among the sender's own until their timeout had passed.
	Unsent  int64
	Sent    int64
	Whole   int64
	Partial int64
	NotRun  int64
	Unknown int64
	// Late are whole answers that came after the timeout.
	Late int64
	// NoResponse are queries without an HTTP answer: the connection was refused or broke, or nothing came in time.
	NoResponse int64
	// FirstError is why the first of them has no answer.
	FirstError error
	// Invalid are answers that break an invariant: of another request, of two snapshots, or with false coverage.
	Invalid int64
	Extra   Extra
	// Latency is that of the answered queries, from the moment at which each was to be sent.
	Latency *metric.Latency
}

// Extra sums up the attempts that the answers say they took.
type Extra struct {
	Attempts int64
	Hedges   int64
	Retries  int64
}

// FirstAttempts gives how many attempts were neither a hedge nor a retry.
func (e Extra) FirstAttempts() int64 {
	return e.Attempts - e.Hedges - e.Retries
}

// Share gives hedges and retries as a share of the first attempts.
func (e Extra) Share() float64 {
	return ratio(e.Hedges+e.Retries, e.FirstAttempts())
}

// ratio gives a part of a whole, and 0 for an empty whole.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// rowCounter is a Row that several goroutines add to.
type rowCounter struct {
	mu  sync.Mutex
	row Row
}

func newRowCounter(flow Flow) *rowCounter {
	return &rowCounter{row: Row{Flow: flow, Latency: metric.NewLatency()}}
}

func (r *rowCounter) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Unsent++
}

func (r *rowCounter) addNoResponse(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row.Sent++
	r.row.NoResponse++
	if r.row.FirstError == nil {
		r.row.FirstError = err
	}
}

// addAnswer counts an answer that came so long after the query was to be sent.
func (r *rowCounter) addAnswer(answer wireAnswer, id string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := &r.row
	sum.Sent++
	if violatesInvariant(answer, id) {
		sum.Invalid++
	}
	code := unit.Code(answer.Code)
	switch {
	case code == unit.CodeWhole && took > sum.Flow.Timeout:
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
		sum.Latency.Record(took)
	}
}
