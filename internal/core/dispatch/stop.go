package dispatch

import (
	"log/slog"
	"time"

	"basilspan/internal/policy/shutdown"
)

// BeginDrain begins a planned stop: all requests, also those in flight and the portions of other VMs' requests, end by
// the schedule's AnswerBy, and a request that probably can't is refused. It is called at most once.
func (d *Dispatcher) BeginDrain(s shutdown.Schedule) {
	d.mu.Lock()
	d.stop = s
	close(d.stopping)
	d.mu.Unlock()
	d.admission.drain()
}

// admits reports whether a request that has been read is served; it is not if this VM stops too soon.
func (d *Dispatcher) admits(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stop.Admits(shutdown.Request{
		Arrived:        j.request.Arrived,
		Deadline:       j.params.Deadline,
		Idempotent:     j.params.Idempotent,
		Target:         j.route.TargetLatency,
		TypicalLatency: d.endpointTracker.TypicalLatency(j.route.Name),
	})
}

// schedule returns the schedule of the planned stop; it is zero if none has begun.
func (d *Dispatcher) schedule() shutdown.Schedule {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stop
}

// OpenRequests returns the number of callers' requests that have no answer yet.
func (d *Dispatcher) OpenRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// closeJob removes a request that has its answer from the open ones.
func (d *Dispatcher) closeJob(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, j)
}

// Close logs and counts the requests that have no answer although the port for callers has closed.
func (d *Dispatcher) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for j := range d.open {
		d.Metrics.Add("request.abandoned", 1)
		attrs := append([]any{
			slog.String("id", string(j.request.ID)),
			slog.String("route", string(j.route.Name)),
			slog.Float64("age_ms", millis(d.Now().Sub(j.request.Arrived))),
		}, newStopTimes(d.stop, j.request.Arrived, j.params.Deadline).logAttrs()...)
		d.Log.Warn("request given up at the stop", attrs...)
	}
	return nil
}

// stopTimes relates a request to the planned stop of this VM.
type stopTimes struct {
	// ReadAfter is the time from the begin of the stop to the arrival of the request, negative if it arrived before.
	ReadAfter time.Duration
	// Deadline and AnswerBy are the request's own deadline and the stop's limit, counted from the arrival of the request.
	// Deadline is 0 for a request that was refused before its deadline was computed.
	Deadline time.Duration
	AnswerBy time.Duration
}

// newStopTimes returns the times of a request that arrived then, or nil if no stop has begun. The zero time as its
// deadline means that it has none yet.
func newStopTimes(s shutdown.Schedule, arrived, deadline time.Time) *stopTimes {
	if !s.InProgress() {
		return nil
	}
	t := &stopTimes{ReadAfter: arrived.Sub(s.Began), AnswerBy: s.AnswerBy.Sub(arrived)}
	if !deadline.IsZero() {
		t.Deadline = deadline.Sub(arrived)
	}
	return t
}

// logAttrs returns the attributes for a log line, none for nil.
func (t *stopTimes) logAttrs() []any {
	if t == nil {
		return nil
	}
	return []any{
		slog.Float64("read_after_drain_ms", millis(t.ReadAfter)),
		slog.Float64("deadline_ms", millis(t.Deadline)),
		slog.Float64("answer_by_ms", millis(t.AnswerBy)),
	}
}
