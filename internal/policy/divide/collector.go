package divide

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

// retryShare is the share of the time before the partial deadline in which the shards of a lost portion are retried.
// A later reply would miss the partial deadline.
const retryShare = 0.6

// minRetryTime is the minimum time before AnswerBy at which missing shards are retried. Later, no portion could return
// in time.
const minRetryTime = 50 * time.Millisecond

// Collector counts the shards answered by the portions of one request and decides when they make an answer. It is not
// safe for concurrent use.
type Collector struct {
	Shards int
	// MinShare is the minimum share of the shards that must be answered for an answer.
	MinShare unit.Share
	Started  time.Time
	// PartialDeadline is when an answer with MinShare of the shards becomes final although portions are pending.
	// Deadline is when the request ends in any case.
	PartialDeadline time.Time
	Deadline        time.Time
	// AnswerBy is when the request must end because this VM stops; the zero time means that it does not stop.
	AnswerBy time.Time

	pending  int
	answered int
	// retriedMissing is set once AllowRetryMissing has allowed a retry of the missing shards.
	retriedMissing bool
	verdict        gather.Verdict
}

// AddPortion records that a portion has been started. Each call must be followed by one of RecordPortion.
func (c *Collector) AddPortion() {
	c.pending++
}

// RecordPortion records that a portion has ended with this many shards answered.
func (c *Collector) RecordPortion(answered int) {
	c.pending--
	c.answered += answered
}

// ShouldRetry reports whether there is time to retry shards of a portion: all of them after the portion was lost, or
// those that its VM did not send to an endpoint.
func (c *Collector) ShouldRetry(now time.Time) bool {
	early := c.Started.Add(time.Duration(retryShare * float64(c.PartialDeadline.Sub(c.Started))))
	return c.verdict == gather.VerdictNone && now.Before(early)
}

// AllowRetryMissing reports whether all missing shards should be retried: all portions have ended with too few shards
// for an answer, the deadline has not passed and AnswerBy is not near. It returns true at most once.
func (c *Collector) AllowRetryMissing(now time.Time) bool {
	short := c.answered < c.minShards() && !c.retriedMissing && now.Before(c.Deadline) &&
		!c.isStopping(now.Add(minRetryTime))
	if !short || c.pending > 0 {
		return false
	}
	c.retriedMissing = true
	return true
}

// ShouldResume reports whether the VMs should go on with the portions that they have returned incomplete: too few shards
// are answered, and no other portion is pending or the partial deadline has passed.
func (c *Collector) ShouldResume(now time.Time) bool {
	return c.verdict == gather.VerdictNone && c.Needed() > 0 && (c.pending == 0 || !now.Before(c.PartialDeadline))
}

// Pending returns how many portions have not ended.
func (c *Collector) Pending() int {
	return c.pending
}

// Verdict returns how the request ended, or VerdictNone while it is in progress. It also makes that decision: the first
// verdict other than VerdictNone is kept.
func (c *Collector) Verdict(now time.Time) gather.Verdict {
	if c.verdict != gather.VerdictNone {
		return c.verdict
	}
	enough := c.answered >= c.minShards()
	switch {
	case enough && (c.pending == 0 || !now.Before(c.PartialDeadline) || c.isStopping(now)):
		c.verdict = gather.VerdictAnswered
	case !now.Before(c.Deadline):
		c.verdict = gather.VerdictTimedOut
	case c.isStopping(now):
		c.verdict = gather.VerdictStopped
	case c.pending == 0 && c.retriedMissing:
		c.verdict = gather.VerdictFailed
	}
	return c.verdict
}

// isStopping reports whether AnswerBy has passed.
func (c *Collector) isStopping(now time.Time) bool {
	return !c.AnswerBy.IsZero() && !now.Before(c.AnswerBy)
}

// Cancel ends the request with VerdictGone because the caller has disconnected, unless it has ended already.
func (c *Collector) Cancel() {
	if c.verdict == gather.VerdictNone {
		c.verdict = gather.VerdictGone
	}
}

// NextCheck returns the time at which Verdict must be called again if no portion ends before: the partial deadline, or
// the end of the request once that has passed.
func (c *Collector) NextCheck(now time.Time) time.Time {
	end := gather.Params{Deadline: c.Deadline, AnswerBy: c.AnswerBy}.End()
	if now.Before(c.PartialDeadline) && c.PartialDeadline.Before(end) {
		return c.PartialDeadline
	}
	return end
}

// minShards returns how many shards must be answered for an answer.
func (c *Collector) minShards() int {
	return gather.MinShards(c.MinShare, c.Shards)
}

// Needed returns how many more shards must be answered for an answer, 0 if enough are.
func (c *Collector) Needed() int {
	return max(0, c.minShards()-c.answered)
}

// Missing returns how many shards have not been answered.
func (c *Collector) Missing() int {
	return c.Shards - c.answered
}
