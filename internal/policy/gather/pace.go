package gather

import "time"

const (
	// hedgeTargetShare is the share of the target after which a shard is hedged; it leaves room for a second attempt.
	hedgeTargetShare = 0.3
	// minHedgeLatencyRatio is the least ratio of the hedge's delay to the usual latency, so that few sound attempts are hedged.
	minHedgeLatencyRatio = 2.0
	// maxHedgeTargetShare is the share of the target after which a hedge comes too late to help.
	maxHedgeTargetShare = 0.6
	// defaultRoundTrip stands for the time to a caller and back that is not known.
	defaultRoundTrip = 2 * time.Millisecond
	// minAnswerTime is the least time that is kept for the merge, the writing of an answer and the wait for the processor.
	minAnswerTime = 5 * time.Millisecond
	// maxAnswerShare bounds the time that is kept before the target, as a share of the target.
	maxAnswerShare = 0.3
	// deadlineMargin is how long before the caller gives up it has its final answer.
	deadlineMargin = 8 * time.Millisecond
)

// Timing holds the times that a request's terms follow from; 0 is not known.
type Timing struct {
	// TypicalLatency is the usual latency of an attempt.
	TypicalLatency time.Duration
	// Target is the time within which an answer has its full worth, and Timeout the longest wait.
	Target  time.Duration
	Timeout time.Duration
	// Remaining is how long the caller waits from the request's arrival.
	Remaining time.Duration
}

// Caller is how a request came.
type Caller struct {
	// Arrived is when it was read.
	Arrived time.Time
	// Remaining is how long the caller said that it waits, and Longest the longest wait that any caller of the route has
	// stated.
	Remaining    time.Duration
	MaxRemaining time.Duration
	// RoundTrip is the time to the caller and back, 0 when it is not known.
	RoundTrip time.Duration
	// NewConnection says that the caller has opened its connection for the request.
	NewConnection bool
}

// FirstAttemptAt gives when the caller made its first attempt. A caller that states a shorter wait than others has made one
// before. The request was half a trip under way, and the opening of its connection took a whole one.
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

func (c Caller) roundTrip() time.Duration {
	if c.RoundTrip <= 0 {
		return defaultRoundTrip
	}
	return c.RoundTrip
}

// HedgeAfter gives the age at which an attempt is hedged.
func (p Timing) HedgeAfter() time.Duration {
	after := max(time.Duration(hedgeTargetShare*float64(p.Target)), time.Duration(minHedgeLatencyRatio*float64(p.TypicalLatency)))
	return min(after, time.Duration(maxHedgeTargetShare*float64(p.Target)))
}

// PartialDeadline gives when a partial answer is final: so early that it reaches the caller just within the target, which the
// caller counts from its first attempt. lag is how long this VM takes from there to the end of its answer. A caller
// whose target has passed already waits as long as one that has just come.
func (p Timing) PartialDeadline(c Caller, lag time.Duration) time.Time {
	margin := c.roundTrip()/2 + max(lag, minAnswerTime)
	margin = min(margin, time.Duration(maxAnswerShare*float64(p.Target)))
	deadline := c.FirstAttemptAt().Add(p.Target - margin)
	if !deadline.After(c.Arrived) {
		deadline = c.Arrived.Add(p.Target - margin)
	}
	return deadline
}

// Deadline gives when the request has its final answer.
func (p Timing) Deadline(arrived time.Time) time.Time {
	wait := p.Timeout
	if p.Remaining > 0 {
		wait = min(wait, p.Remaining-min(deadlineMargin, p.Remaining/4))
	}
	return arrived.Add(wait)
}
