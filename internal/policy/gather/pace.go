package gather

import "time"

const (
	// hedgeShare is the share of the target after which a shard is hedged; it leaves room for a second attempt.
	hedgeShare = 0.3
	// hedgeUsual is the least ratio of the hedge's delay to the usual latency, so that few sound attempts are hedged.
	hedgeUsual = 2.0
	// hedgeLatest is the share of the target after which a hedge comes too late to help.
	hedgeLatest = 0.6
	// usualTrip stands for the time to a caller and back that is not known.
	usualTrip = 2 * time.Millisecond
	// answerLeast is the least time that is kept for the merge, the writing of an answer and the wait for the processor.
	answerLeast = 5 * time.Millisecond
	// answerShare bounds the time that is kept before the target, as a share of the target.
	answerShare = 0.3
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

// Caller is how a request came.
type Caller struct {
	// Arrived is when it was read.
	Arrived time.Time
	// Left is how long the caller said that it waits, and Longest the longest wait that any caller of the route has
	// stated.
	Left    time.Duration
	Longest time.Duration
	// Trip is the time to the caller and back, 0 when it is not known.
	Trip time.Duration
	// First says that the caller has opened its connection for the request.
	First bool
}

// Began gives when the caller made its first attempt. A caller that states a shorter wait than others has made one
// before. The request was half a trip under way, and the opening of its connection took a whole one.
func (c Caller) Began() time.Time {
	began := c.Arrived.Add(-c.trip() / 2)
	if c.First {
		began = began.Add(-c.trip())
	}
	if c.Left > 0 && c.Left < c.Longest {
		began = c.Arrived.Add(c.Left - c.Longest)
	}
	return began
}

func (c Caller) trip() time.Duration {
	if c.Trip <= 0 {
		return usualTrip
	}
	return c.Trip
}

// HedgeAfter gives the age at which an attempt is hedged.
func (p Pace) HedgeAfter() time.Duration {
	after := max(time.Duration(hedgeShare*float64(p.Target)), time.Duration(hedgeUsual*float64(p.Usual)))
	return min(after, time.Duration(hedgeLatest*float64(p.Target)))
}

// Cut gives when a partial answer is final: so early that it reaches the caller just within the target, which the
// caller counts from its first attempt. lag is how long this VM takes from there to the end of its answer. A caller
// whose target has passed already waits as long as one that has just come.
func (p Pace) Cut(c Caller, lag time.Duration) time.Time {
	margin := c.trip()/2 + max(lag, answerLeast)
	margin = min(margin, time.Duration(answerShare*float64(p.Target)))
	cut := c.Began().Add(p.Target - margin)
	if !cut.After(c.Arrived) {
		cut = c.Arrived.Add(p.Target - margin)
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
