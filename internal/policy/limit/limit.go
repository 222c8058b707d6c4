// Package limit decides which calls one entry VM has under way at one endpoint: at most its slots and the calls that
// wait beside them, the most urgent rank first with a floor for every other, and none that would end after its
// deadline.
package limit

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

const (
	// refusedDecrease shrinks the limit when the endpoint refuses a call.
	refusedDecrease = 0.7
	// slowThreshold is how far the recent service time may rise over the usual one before the limit shrinks.
	slowThreshold = 2.0
	// slowDecrease shrinks the limit while the service time is high.
	slowDecrease = 0.9
	// minLimit is the least limit: one call at a time finds out whether the endpoint works again.
	minLimit = 1.0
	// recentWeight and usualWeight are the weights of a sample in the recent and the usual service time.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 256
	// minBaselineSamples is how many samples make the usual service time usable.
	minBaselineSamples = 32
)

// Settings bound one queue.
type Settings struct {
	// Ceiling is the largest limit of calls under way.
	Ceiling int
	// Slots is how many calls the endpoint is said to run at once; slowness alone never shrinks the limit below it.
	Slots unit.Slots
	// MaxWaiting is how many calls of one rank may wait.
	MaxWaiting int
	// Ranks are the configured ranks.
	Ranks map[unit.RankName]rank.Rank
}

// Queue is the queue in front of one endpoint. It is not safe for use by several goroutines.
type Queue struct {
	settings Settings
	waiting  *rank.Queue
	inFlight int
	// limit is how many calls may be under way, from 1 to the ceiling; a fraction counts as nothing.
	limit float64
	// lastShrunk is when the limit was last lowered.
	lastShrunk time.Time
	recent     rank.Average
	baseline   rank.Average
}

// New makes a queue for an endpoint that is not known yet: its limit begins at one call and grows with its replies.
func New(settings Settings) *Queue {
	return &Queue{
		settings: settings,
		waiting:  rank.New(settings.MaxWaiting, settings.Ranks),
		limit:    minLimit,
		recent:   rank.Average{Weight: recentWeight},
		baseline: rank.Average{Weight: baselineWeight},
	}
}

// Change takes new settings, for example after a change of the configuration or of the endpoint's owner. A lower
// ceiling holds at once; a higher one is reached as replies come.
func (q *Queue) Change(now time.Time, settings Settings) []rank.Verdict {
	q.settings = settings
	q.waiting.Change(settings.MaxWaiting, settings.Ranks)
	q.limit = max(minLimit, min(q.limit, float64(settings.Ceiling)))
	return q.grant(now)
}

// Offer takes a new call and gives the verdicts that follow; a call without a verdict waits. How long it may have to
// wait is no reason to refuse it: it is one of many calls of its query, and the query was admitted as a whole.
func (q *Queue) Offer(now time.Time, t rank.Ticket) []rank.Verdict {
	if !now.Before(t.Deadline) || q.wouldMissDeadline(now, t) {
		return []rank.Verdict{{Ticket: t, Code: unit.CodeTooLate}}
	}
	if !q.waiting.Push(now, t) {
		return []rank.Verdict{{Ticket: t, Code: unit.CodeOverloaded}}
	}
	return q.grant(now)
}

// Done takes the end of a call under way, its result code and how long it took, and gives the verdicts that follow.
func (q *Queue) Done(now time.Time, code unit.Code, took time.Duration) []rank.Verdict {
	full := float64(q.inFlight) >= q.wholeLimit()
	q.inFlight--
	switch code {
	case unit.CodeWhole:
		q.recordServed(now, took, full)
	case unit.CodeRefused:
		q.shrink(now, refusedDecrease, minLimit)
	case unit.CodeNotConnected, unit.CodeDraining, unit.CodeConnection:
		q.limit = minLimit
	}
	return q.grant(now)
}

// Withdraw takes back a waiting call; it says false when the call does not wait.
func (q *Queue) Withdraw(id uint64) bool {
	return q.waiting.Remove(id)
}

// InFlight gives the number of calls under way.
func (q *Queue) InFlight() int {
	return q.inFlight
}

// Limit gives how many calls may be under way now.
func (q *Queue) Limit() int {
	return int(q.wholeLimit())
}

// Idle says whether no call is under way and none waits.
func (q *Queue) Idle() bool {
	return q.inFlight == 0 && q.waiting.Len() == 0
}

// recordServed takes a call that ran to its end; full says whether the limit held others back meanwhile.
func (q *Queue) recordServed(now time.Time, took time.Duration, full bool) {
	q.recent.Add(took)
	q.baseline.Add(took)
	if q.baseline.Samples() > minBaselineSamples && float64(q.recent.Mean()) > slowThreshold*float64(q.baseline.Mean()) {
		q.shrink(now, slowDecrease, float64(q.settings.Slots))
		return
	}
	if full {
		q.limit = min(q.limit+1/q.limit, float64(q.settings.Ceiling))
	}
}

// shrink lowers the limit, at most once in a service time, and not below least.
func (q *Queue) shrink(now time.Time, factor, lowerBound float64) {
	if now.Sub(q.lastShrunk) < q.recent.Mean() || q.limit <= lowerBound {
		return
	}
	q.lastShrunk = now
	q.limit = max(minLimit, lowerBound, q.limit*factor)
}

// grant lets waiting calls go while the limit has room.
func (q *Queue) grant(now time.Time) []rank.Verdict {
	var verdicts []rank.Verdict
	for float64(q.inFlight) < q.wholeLimit() {
		t, ok := q.waiting.Pop(now, anyRank)
		if !ok {
			return verdicts
		}
		if !now.Before(t.Deadline) || q.wouldMissDeadline(now, t) {
			verdicts = append(verdicts, rank.Verdict{Ticket: t, Code: unit.CodeTooLate})
			continue
		}
		q.inFlight++
		verdicts = append(verdicts, rank.Verdict{Ticket: t, Code: unit.CodeWhole})
	}
	return verdicts
}

// wouldMissDeadline says whether a call is expected to end after its deadline even if it is made now. While nothing is under way it
// always says no, so that a service time of long ago can't keep every call away.
func (q *Queue) wouldMissDeadline(now time.Time, t rank.Ticket) bool {
	if q.inFlight == 0 {
		return false
	}
	return now.Add(q.recent.Mean()).After(t.Deadline)
}

// wholeLimit gives the limit in whole calls.
func (q *Queue) wholeLimit() float64 {
	return float64(int(q.limit))
}

func anyRank(unit.RankName) bool { return true }
