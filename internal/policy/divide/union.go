package divide

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

// retryShare is the share of the time to the cut within which the shards of a lost portion are asked for anew; later, no
// reply would come before the cut.
const retryShare = 0.6

// Collector decides when the portions of one request make an answer. It is not safe for use by several goroutines.
type Collector struct {
	Shards int
	// MinShare is the share of the shards below which there is no answer.
	MinShare unit.Share
	Started  time.Time
	// PartialDeadline is when an answer with the least share is final although portions are missing, and End when the request is
	// over.
	PartialDeadline time.Time
	Deadline        time.Time

	pending  int
	answered int
	// retriedMissing is set once the missing shards have been asked for anew after all portions had come.
	retriedMissing bool
	verdict        gather.Verdict
}

// AddPortion takes that a portion is under way.
func (u *Collector) AddPortion() {
	u.pending++
}

// RecordPortion takes the end of a portion with that many shards answered.
func (u *Collector) RecordPortion(answered int) {
	u.pending--
	u.answered += answered
}

// ShouldRetry says whether the shards of a portion that was lost, or that its VM has not sent, are to be asked for anew.
func (u *Collector) ShouldRetry(now time.Time) bool {
	early := u.Started.Add(time.Duration(retryShare * float64(u.PartialDeadline.Sub(u.Started))))
	return u.verdict == gather.VerdictNone && now.Before(early)
}

// AllowRetryMissing says whether all missing shards are to be asked for anew, because all portions have come and are too
// little for an answer. It says so once.
func (u *Collector) AllowRetryMissing(now time.Time) bool {
	short := u.answered < u.minShards() && !u.retriedMissing && now.Before(u.Deadline)
	if !short || u.pending > 0 {
		return false
	}
	u.retriedMissing = true
	return true
}

// Verdict gives how the request stands.
func (u *Collector) Verdict(now time.Time) gather.Verdict {
	if u.verdict != gather.VerdictNone {
		return u.verdict
	}
	enough := u.answered >= u.minShards()
	switch {
	case enough && (u.pending == 0 || !now.Before(u.PartialDeadline)):
		u.verdict = gather.VerdictAnswered
	case !now.Before(u.Deadline):
		u.verdict = gather.VerdictTimedOut
	case u.pending == 0 && u.retriedMissing:
		u.verdict = gather.VerdictFailed
	}
	return u.verdict
}

// Cancel takes that the caller has left.
func (u *Collector) Cancel() {
	if u.verdict == gather.VerdictNone {
		u.verdict = gather.VerdictGone
	}
}

// NextCheck gives the time at which Verdict has to be asked for anew.
func (u *Collector) NextCheck(now time.Time) time.Time {
	if now.Before(u.PartialDeadline) && u.PartialDeadline.Before(u.Deadline) {
		return u.PartialDeadline
	}
	return u.Deadline
}

func (u *Collector) minShards() int {
	return gather.MinShards(u.MinShare, u.Shards)
}

// Needed gives how many shards an answer still needs.
func (u *Collector) Needed() int {
	return max(0, u.minShards()-u.answered)
}

// Missing gives how many shards an answer leaves out now.
func (u *Collector) Missing() int {
	return u.Shards - u.answered
}
