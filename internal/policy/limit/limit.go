// Package limit decides which calls one entry VM sends to one endpoint. It adapts the number of calls in flight to the
// endpoint's replies, up to a ceiling. It sends the most urgent rank first, guarantees every other rank a minimum
// share (its floor), and rejects calls that are expected to end after their deadline.
package limit

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

const (
	// refusedDecrease is the factor by which the limit shrinks when the endpoint refuses a call.
	refusedDecrease = 0.7
	// slowThreshold is how many times the baseline the recent service time may be before the limit shrinks.
	slowThreshold = 2.0
	// slowDecrease is the factor by which the limit shrinks while the service time is high.
	slowDecrease = 0.9
	// minLimit is the smallest limit: one call at a time still detects when the endpoint works again.
	minLimit = 1.0
	// recentWeight and baselineWeight are the weights of a new sample in the recent and the baseline service time.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 256
	// minBaselineSamples is how many samples the baseline must exceed before it is compared.
	minBaselineSamples = 32
)

// Settings configures one queue.
type Settings struct {
	// Ceiling is the largest limit of calls in flight.
	Ceiling int
	// Slots is how many calls the endpoint is configured to run at once. Slowness alone never shrinks the limit below
	// it.
	Slots unit.Slots
	// MaxWaiting is how many calls of one rank may wait.
	MaxWaiting int
	// Ranks holds the configured ranks.
	Ranks map[unit.RankName]rank.Rank
}

// Queue is the queue in front of one endpoint. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	waiting  *rank.Queue
	inFlight int
	// limit is how many calls may be in flight, from 1 to the ceiling; the fractional part is ignored.
	limit float64
	// lastShrunk is when the limit was last lowered because of refusals or slowness.
	lastShrunk time.Time
	// recent and baseline average the service time over few and over many calls.
	recent   rank.Average
	baseline rank.Average
}

// New returns a queue for an endpoint that is not known yet. Its limit starts at one call and grows with successful
// replies.
func New(settings Settings) *Queue {
	return &Queue{
		settings: settings,
		waiting:  rank.New(settings.MaxWaiting, settings.Ranks),
		limit:    minLimit,
		recent:   rank.Average{Weight: recentWeight},
		baseline: rank.Average{Weight: baselineWeight},
	}
}

// Change applies new settings, for example after the configuration or the endpoint's owner has changed, and returns
// the resulting decisions. A lower ceiling applies at once; a higher one is reached gradually as replies arrive.
func (q *Queue) Change(now time.Time, settings Settings) []rank.Decision {
	q.settings = settings
	q.waiting.Change(settings.MaxWaiting, settings.Ranks)
	q.limit = max(minLimit, min(q.limit, float64(settings.Ceiling)))
	return q.grant(now)
}

// Offer submits a new call and returns the resulting decisions, on this call or others. A call without a decision
// waits. A long expected wait is no reason to reject a call: it is one of many calls of a query that has already been
// admitted as a whole.
func (q *Queue) Offer(now time.Time, t rank.Ticket) []rank.Decision {
	if !now.Before(t.Deadline) || q.wouldMissDeadline(now, t) {
		return []rank.Decision{{Ticket: t, Code: unit.CodeTooLate}}
	}
	if !q.waiting.Push(now, t) {
		return []rank.Decision{{Ticket: t, Code: unit.CodeOverloaded}}
	}
	return q.grant(now)
}

// Done records the end of a call in flight with its result code and duration, and returns the resulting decisions. A
// served call adjusts the limit, a refused one lowers it, and one that found the endpoint unreachable or draining
// resets it to minLimit. Other result codes leave the limit unchanged.
func (q *Queue) Done(now time.Time, code unit.Code, took time.Duration) []rank.Decision {
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

// Withdraw removes a waiting call whose caller has given up. It reports false if the call is not waiting, because it
// has received its decision.
func (q *Queue) Withdraw(id uint64) bool {
	return q.waiting.Remove(id)
}

// InFlight returns the number of admitted calls that have not ended. Only tests call it.
func (q *Queue) InFlight() int {
	return q.inFlight
}

// Limit returns how many calls may currently be in flight: the adaptive limit, rounded down. Only tests call it.
func (q *Queue) Limit() int {
	return int(q.wholeLimit())
}

// Idle reports whether no call is in flight and none waits, so that the queue may be discarded.
func (q *Queue) Idle() bool {
	return q.inFlight == 0 && q.waiting.Len() == 0
}

// recordServed adjusts the limit after a call that the endpoint has completed. It lowers the limit while the service
// time is high. Otherwise it raises the limit, by about one per limit calls, but only if full: the limit was reached
// when the call ended.
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

// shrink lowers the limit, at most once per mean recent service time and not below lowerBound.
func (q *Queue) shrink(now time.Time, factor, lowerBound float64) {
	if now.Sub(q.lastShrunk) < q.recent.Mean() || q.limit <= lowerBound {
		return
	}
	q.lastShrunk = now
	q.limit = max(minLimit, lowerBound, q.limit*factor)
}

// grant admits waiting calls while the limit allows, and rejects those that would miss their deadline.
func (q *Queue) grant(now time.Time) []rank.Decision {
	var decisions []rank.Decision
	for float64(q.inFlight) < q.wholeLimit() {
		t, ok := q.waiting.Pop(now, anyRank)
		if !ok {
			return decisions
		}
		if !now.Before(t.Deadline) || q.wouldMissDeadline(now, t) {
			decisions = append(decisions, rank.Decision{Ticket: t, Code: unit.CodeTooLate})
			continue
		}
		q.inFlight++
		decisions = append(decisions, rank.Decision{Ticket: t, Code: unit.CodeWhole})
	}
	return decisions
}

// wouldMissDeadline reports whether a call is expected to end after its deadline even if it is sent now. It always
// reports false while no call is in flight, so that an outdated service time cannot block every call.
func (q *Queue) wouldMissDeadline(now time.Time, t rank.Ticket) bool {
	if q.inFlight == 0 {
		return false
	}
	return now.Add(q.recent.Mean()).After(t.Deadline)
}

// wholeLimit returns the limit rounded down to whole calls; it is at least 1.
func (q *Queue) wholeLimit() float64 {
	return float64(int(q.limit))
}

// anyRank allows every rank to be granted: all ranks share one limit.
func anyRank(unit.RankName) bool { return true }
