package gather

import "time"

const (
	// hedgeTargetShare is the share of the target after which a shard is hedged. It leaves time for a second attempt.
	hedgeTargetShare = 0.3
	// minHedgeLatencyRatio is the minimum ratio of the hedge delay to the typical latency, so that few healthy attempts
	// are hedged.
	minHedgeLatencyRatio = 2.0
	// hedgeWaitShare is the share of the time until the partial deadline after which a shard is hedged, if that is
	// sooner.
	hedgeWaitShare = 0.4
	// maxHedgeTargetShare bounds the hedge delay as a share of the target. A later hedge would not reply in time to
	// help.
	maxHedgeTargetShare = 0.6
	// defaultRoundTrip is the assumed round trip to a caller whose round trip is unknown.
	defaultRoundTrip = 2 * time.Millisecond
	// minAnswerTime is the minimum time reserved for merging and writing an answer and for waiting for the processor.
	minAnswerTime = 5 * time.Millisecond
	// maxAnswerShare bounds the time reserved before the target, as a share of the target.
	maxAnswerShare = 0.3
	// refuseTargetShare is the share of the target within which a request that has not run is refused. A caller that
	// returns then can still be answered within the target.
	refuseTargetShare = 0.25
	// deadlineMargin is how long before the caller's timeout the request is answered, so that the caller still
	// receives it.
	deadlineMargin = 8 * time.Millisecond
)

// Timing holds the times that the hedge delay and the deadlines of a request are computed from; 0 means unknown.
type Timing struct {
	// TypicalLatency is the typical latency of an attempt.
	TypicalLatency time.Duration
	// Target is the time within which an answer has its full value to the caller. Timeout is the longest time that a
	// request may take.
	Target  time.Duration
	Timeout time.Duration
	// Remaining is how long the caller waits, counted from the arrival of the request.
	Remaining time.Duration
	// UntilPartial is the time from the first attempts to the partial deadline, 0 without one.
	UntilPartial time.Duration
}

// Caller describes how a request arrived.
type Caller struct {
	// Arrived is when the request was read.
	Arrived time.Time
	// Remaining is how long the caller waits by its own statement, MaxRemaining the longest such time that any caller
	// of the route has stated.
	Remaining    time.Duration
	MaxRemaining time.Duration
	// RoundTrip is the round-trip time to the caller, 0 if unknown.
	RoundTrip time.Duration
	// NewConnection is set if the caller opened its connection for this request.
	NewConnection bool
}

// FirstAttemptAt estimates when the caller sent its first attempt. Half a round trip passes before the request
// arrives, and a whole one more if the connection had to be opened. A caller that states a shorter remaining time
// than others is taken to have spent the difference on earlier attempts.
func (c Caller) FirstAttemptAt() time.Time {
	sent := c.Arrived.Add(-c.roundTrip() / 2)
	if c.NewConnection {
		sent = sent.Add(-c.roundTrip())
	}
	if c.Remaining > 0 && c.Remaining < c.MaxRemaining {
		sent = c.Arrived.Add(c.Remaining - c.MaxRemaining)
	}
	return sent
}

// roundTrip returns the round-trip time to the caller, or the assumed one if it is unknown.
func (c Caller) roundTrip() time.Duration {
	if c.RoundTrip <= 0 {
		return defaultRoundTrip
	}
	return c.RoundTrip
}

// HedgeAfter returns the age at which an attempt is hedged: a share of the target, less if the partial deadline is near,
// more if the typical latency is high, and never beyond maxHedgeTargetShare of the target.
func (t Timing) HedgeAfter() time.Duration {
	after := time.Duration(hedgeTargetShare * float64(t.Target))
	if t.UntilPartial > 0 {
		after = min(after, time.Duration(hedgeWaitShare*float64(t.UntilPartial)))
	}
	after = max(after, time.Duration(minHedgeLatencyRatio*float64(t.TypicalLatency)))
	return min(after, time.Duration(maxHedgeTargetShare*float64(t.Target)))
}

// PartialDeadline returns when a partial answer becomes final: early enough that it reaches the caller within the
// target, which the caller counts from its first attempt. lag is how long this VM takes from that time to the end of
// its answer. If that time has passed when the request arrives, the target counts from the arrival instead.
func (t Timing) PartialDeadline(c Caller, lag time.Duration) time.Time {
	margin := c.roundTrip()/2 + max(lag, minAnswerTime)
	margin = min(margin, time.Duration(maxAnswerShare*float64(t.Target)))
	deadline := c.FirstAttemptAt().Add(t.Target - margin)
	if !deadline.After(c.Arrived) {
		deadline = c.Arrived.Add(t.Target - margin)
	}
	return deadline
}

// Deadline returns when the request must have its final answer: after Timeout, or a margin before the caller stops
// waiting, whichever is earlier.
func (t Timing) Deadline(arrived time.Time) time.Time {
	wait := t.Timeout
	if t.Remaining > 0 {
		wait = min(wait, t.Remaining-min(deadlineMargin, t.Remaining/4))
	}
	return arrived.Add(wait)
}

// RefuseBy returns until when a request that arrived at this time, and of which nothing has run, may wait for room. It is
// the zero time on a route without a target.
func (t Timing) RefuseBy(arrived time.Time) time.Time {
	if t.Target <= 0 {
		return time.Time{}
	}
	return arrived.Add(time.Duration(refuseTargetShare * float64(t.Target)))
}
