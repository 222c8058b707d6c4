package gather

import "time"

const (
	// hedgeShare is the share of the target after which a shard is hedged; it leaves room for a second attempt.
	hedgeShare = 0.3
	// hedgeUsual is the least ratio of the hedge's delay to the usual latency, so that few sound attempts are hedged.
	hedgeUsual = 2.0
	// hedgeLatest is the share of the target after which a hedge comes too late to help.
	hedgeLatest = 0.6
	// answerTime is how long before the target an answer has to be final: it covers the way to the caller, the opening
	// of the caller's connection and the merge.
	answerTime = 8 * time.Millisecond
	// answerShare bounds answerTime as a share of the target.
	answerShare = 0.25
	// endTime is how long before the caller gives up it has its final answer.
	endTime = 8 * time.Millisecond
)

// Pace holds the times that a request's terms follow from; 0 is not known.
type Pace struct {
	// Usual is the usual latency of an attempt.
	Usual time.Duration
	// Target is the time within which an answer has its full worth, and Timeout the longest wait.
	Target  time.Duration
	Timeout time.Duration
	// Left is how long the caller waits from the request's arrival.
	Left time.Duration
}

// Began gives when the caller made its first attempt: it states how long it still waits, and longest is the most that
// any caller of the route has stated.
func Began(arrived time.Time, left, longest time.Duration) time.Time {
	if left <= 0 {
		return arrived
	}
	return arrived.Add(left - longest)
}

// HedgeAfter gives the age at which an attempt is hedged.
func (p Pace) HedgeAfter() time.Duration {
	after := max(time.Duration(hedgeShare*float64(p.Target)), time.Duration(hedgeUsual*float64(p.Usual)))
	return min(after, time.Duration(hedgeLatest*float64(p.Target)))
}

// Cut gives when a partial answer is final: just before the target, as the caller counts it from its first attempt. A
// caller whose target has passed already waits as long as one that has just come.
func (p Pace) Cut(arrived, began time.Time) time.Time {
	margin := min(answerTime, time.Duration(answerShare*float64(p.Target)))
	cut := began.Add(p.Target - margin)
	if !cut.After(arrived) {
		cut = arrived.Add(p.Target - margin)
	}
	return cut
}

// End gives when the request has its final answer.
func (p Pace) End(arrived time.Time) time.Time {
	end := p.Timeout
	if p.Left > 0 {
		end = min(end, p.Left-min(endTime, p.Left/4))
	}
	return arrived.Add(end)
}
