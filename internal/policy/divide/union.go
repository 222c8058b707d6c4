package divide

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

// redoShare is the share of the time to the cut within which the shards of a lost portion are asked for anew; later, no
// reply would come before the cut.
const redoShare = 0.6

// Union decides when the portions of one request make an answer. It is not safe for use by several goroutines.
type Union struct {
	Shards int
	// Least is the share of the shards below which there is no answer.
	Least unit.Share
	Began time.Time
	// Cut is when an answer with the least share is final although portions are missing, and End when the request is
	// over.
	Cut time.Time
	End time.Time

	pending  int
	answered int
	// redone is set once the missing shards have been asked for anew after all portions had come.
	redone  bool
	verdict gather.Verdict
}

// Begin takes that a portion is under way.
func (u *Union) Begin() {
	u.pending++
}

// Took takes the end of a portion with that many shards answered.
func (u *Union) Took(answered int) {
	u.pending--
	u.answered += answered
}

// Redo says whether the shards of a portion that was lost, or that its VM has not sent, are to be asked for anew.
func (u *Union) Redo(now time.Time) bool {
	early := u.Began.Add(time.Duration(redoShare * float64(u.Cut.Sub(u.Began))))
	return u.verdict == gather.VerdictNone && now.Before(early)
}

// RedoMissing says whether all missing shards are to be asked for anew, because all portions have come and are too
// little for an answer. It says so once.
func (u *Union) RedoMissing(now time.Time) bool {
	short := u.answered < u.least() && !u.redone && now.Before(u.End)
	if !short || u.pending > 0 {
		return false
	}
	u.redone = true
	return true
}

// Verdict gives how the request stands.
func (u *Union) Verdict(now time.Time) gather.Verdict {
	if u.verdict != gather.VerdictNone {
		return u.verdict
	}
	enough := u.answered >= u.least()
	switch {
	case enough && (u.pending == 0 || !now.Before(u.Cut)):
		u.verdict = gather.VerdictAnswered
	case !now.Before(u.End):
		u.verdict = gather.VerdictTimedOut
	case u.pending == 0 && u.redone:
		u.verdict = gather.VerdictFailed
	}
	return u.verdict
}

// Leave takes that the caller has left.
func (u *Union) Leave() {
	if u.verdict == gather.VerdictNone {
		u.verdict = gather.VerdictGone
	}
}

// Wake gives the time at which Verdict has to be asked for anew.
func (u *Union) Wake(now time.Time) time.Time {
	if now.Before(u.Cut) && u.Cut.Before(u.End) {
		return u.Cut
	}
	return u.End
}

func (u *Union) least() int {
	return gather.MinShards(u.Least, u.Shards)
}

// Need gives how many shards an answer still needs.
func (u *Union) Need() int {
	return max(0, u.least()-u.answered)
}

// Missing gives how many shards an answer leaves out now.
func (u *Union) Missing() int {
	return u.Shards - u.answered
}
