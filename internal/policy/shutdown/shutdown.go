// Package shutdown decides how a planned stop of an entry VM divides its grace time, and which requests it still serves.
package shutdown

import "time"

const (
	// finishShare is the share of the grace time reserved for requests in flight after the VM stops accepting new ones.
	finishShare = 0.3
	// exitReserve is the part of the grace time reserved for the exit of the process itself.
	exitReserve = 300 * time.Millisecond
	// writeShare is the share of the finish time reserved for writing the last responses.
	writeShare = 0.2
	// typicalLatencyFactor is the multiple of the typical latency within which nearly all requests are answered.
	typicalLatencyFactor = 2
)

// Schedule holds the times of a planned stop. The zero value means that no stop has begun.
type Schedule struct {
	// Began is when the stop began.
	Began time.Time
	// AcceptUntil is when the port for callers stops accepting connections and closes those without a request. The load
	// balancer may send callers until then.
	AcceptUntil time.Time
	// AnswerBy is when every request must have its final answer, so that the response is written before the port closes.
	AnswerBy time.Time
	// CloseBy is when the port for callers closes, even if responses are still being written.
	CloseBy time.Time
}

// Plan returns the schedule of a stop that begins now.
func Plan(now time.Time, grace time.Duration) Schedule {
	finish := time.Duration(finishShare * float64(grace))
	accept := now.Add(max(0, grace-finish-exitReserve))
	return Schedule{
		Began:       now,
		AcceptUntil: accept,
		AnswerBy:    accept.Add(finish - time.Duration(writeShare*float64(finish))),
		CloseBy:     accept.Add(finish),
	}
}

// Request describes a request for the decision whether a stopping VM serves it.
type Request struct {
	Arrived time.Time
	// Deadline is when the request must have its final answer if the VM does not stop.
	Deadline   time.Time
	Idempotent bool
	// Target is the route's target latency and TypicalLatency the usual one, 0 if unknown.
	Target         time.Duration
	TypicalLatency time.Duration
}

// Admits reports whether the VM serves a request that it has read. It rejects one that would probably not be answered
// before AnswerBy, since another VM can serve it in full. A request that must not be repeated has to fit in with its
// whole deadline, because its caller could not send it again after it was cut short.
func (s Schedule) Admits(r Request) bool {
	if !s.InProgress() || !r.Deadline.After(s.AnswerBy) {
		return true
	}
	return r.Idempotent && s.AnswerBy.Sub(r.Arrived) >= max(r.Target, typicalLatencyFactor*r.TypicalLatency)
}

// InProgress reports whether a stop has begun.
func (s Schedule) InProgress() bool {
	return !s.Began.IsZero()
}
