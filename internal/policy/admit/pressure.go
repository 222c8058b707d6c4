package admit

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

const (
	// burstTime is how long too little room is taken for a burst of about two seconds and the time to work it off. Queries
	// without room wait meanwhile; later they are refused at once.
	burstTime = 3500 * time.Millisecond
	// lastCall is how long before a waiting query can't be answered any more it starts, whatever the wait.
	lastCall = 3 * TickPeriod
	// calmTime is the time without pressure after which the next pressure counts as a new burst.
	calmTime = 2 * time.Second
	// ownShare is the share of its own slack up to which a rank lets the wait at the endpoints grow.
	ownShare = 0.75
	// yieldShare is the share of the slack of more urgent ranks up to which a rank lets the wait at the endpoints grow.
	yieldShare = 0.3
	// lateYieldShare is that share for queries that can't be on time any more, of the smallest slack of all ranks.
	lateYieldShare = 0.15
	// fullShare is the share of a rank's limit of the wait up to which all of its queries are admitted. Beyond it, fewer
	// are the nearer the wait is to the limit.
	fullShare = 0.5
	// askShare is the share of that part of the limit from which on other VMs are asked for the waits.
	askShare = 0.5
	// minSlackShare is the smallest slack of a rank, as a share of its target.
	minSlackShare = 0.25
	// hopelessShare is the share of the time left that the wait must take for a query to be given up because of it.
	hopelessShare = 0.25
	// offeredWeight is the weight of one query in the shares of the ranks, and minOffered the share of a rank from which on
	// others yield to it.
	offeredWeight unit.Share = 1.0 / 32
	minOffered    unit.Share = 0.04
)

// TickPeriod is the time between two calls of Tick while queries wait.
const TickPeriod = 100 * time.Millisecond

// pressure is for how long a gate has had too little room for all queries.
type pressure struct {
	since, last time.Time
}

// record notes that there is too little room at now. Where the gate has not been in calm before, because its VM has just
// started, that may have lasted for any time and counts as lasting.
func (p *pressure) record(now, begun time.Time) {
	switch {
	case p.last.IsZero() && now.Sub(begun) < calmTime:
		p.since = now.Add(-burstTime)
	case p.last.IsZero() || now.Sub(p.last) > calmTime:
		p.since = now
	}
	p.last = now
}

// isStanding reports whether there has been too little room for as long as a burst lasts.
func (p *pressure) isStanding(now time.Time) bool {
	return !p.last.IsZero() && now.Sub(p.last) <= calmTime && now.Sub(p.since) >= burstTime
}

// Pressed returns for how long there has been too little room for all queries, 0 if there is enough.
func (g *Gate) Pressed(now time.Time) time.Duration {
	if g.pressure.last.IsZero() || now.Sub(g.pressure.last) > calmTime {
		return 0
	}
	return max(1, now.Sub(g.pressure.since))
}

// ShouldAsk reports whether to ask other VMs for the waits before a query is offered: there has been too little room lately,
// or the wait is on its way there. suspected is a wait that this VM has too few samples of to go by.
func (g *Gate) ShouldAsk(now time.Time, t rank.Ticket, suspected time.Duration) bool {
	if g.Pressed(now) > 0 {
		return true
	}
	wait := max(suspected, g.expectedWait(now, t.Rank))
	return wait > 0 && float64(wait) > askShare*fullShare*float64(g.waitLimit(now, t))
}

// offerUnderPressure decides on a new query by the wait at the endpoints: it runs, waits for room, or is refused.
func (g *Gate) offerUnderPressure(now time.Time, t rank.Ticket) []rank.Decision {
	if g.mayStart(now, t) {
		g.recordStart(now, t)
		return []rank.Decision{{Ticket: t, Code: unit.CodeWhole}}
	}
	if g.pressure.isStanding(now) || !g.waiting.Push(now, t) {
		return []rank.Decision{{Ticket: t, Code: unit.CodeOverloaded}}
	}
	return nil
}

// Tick admits a waiting query if there is room for it, and rejects those that have waited in vain. It is called each
// TickPeriod while queries wait.
func (g *Gate) Tick(now time.Time) []rank.Decision {
	if g.Wait == nil {
		return g.grant(now)
	}
	return g.release(now)
}

// RejectWaiting rejects all queries that wait, with that code.
func (g *Gate) RejectWaiting(code unit.Code) []rank.Decision {
	var decisions []rank.Decision
	for _, t := range g.waiting.RemoveAll(func(rank.Ticket) bool { return true }) {
		decisions = append(decisions, rank.Decision{Ticket: t, Code: code})
	}
	return decisions
}

// HasWaiting reports whether any query waits for admission.
func (g *Gate) HasWaiting() bool {
	return g.waiting.Len() > 0
}

// release admits one waiting query if there is room for it, and those that would soon miss their deadline. It rejects those
// that can't be answered any more. One query that ends makes room for one that waits: if all that wait started as soon as the
// wait at the endpoints is short, they would be a burst of their own.
func (g *Gate) release(now time.Time) []rank.Decision {
	// All that wait are judged by the same waits, which are costly to compute for many shards.
	g.waits = make(map[waitKey]time.Duration)
	defer func() { g.waits = nil }()
	var decisions []rank.Decision
	decide := func(code unit.Code, applies func(now time.Time, t rank.Ticket) bool) {
		for _, t := range g.waiting.RemoveAll(func(t rank.Ticket) bool { return applies(now, t) }) {
			decisions = append(decisions, rank.Decision{Ticket: t, Code: code})
			if code == unit.CodeWhole {
				g.recordStart(now, t)
			}
		}
	}
	decide(unit.CodeWhole, g.isLastCall)
	decide(unit.CodeTooLate, g.isHopeless)
	t, ok := g.waiting.Pop(now, func(name unit.RankName) bool {
		next, ok := g.waiting.Next(now, name)
		return ok && g.mayStart(now, next)
	})
	if ok {
		g.recordStart(now, t)
		decisions = append(decisions, rank.Decision{Ticket: t, Code: unit.CodeWhole})
	}
	return decisions
}

// expectedWait returns how long a query of a rank is expected to wait at the endpoints.
func (g *Gate) expectedWait(now time.Time, name unit.RankName) time.Duration {
	if g.waits == nil {
		return g.Wait(now, name)
	}
	key := waitKey{name, now}
	d, ok := g.waits[key]
	if !ok {
		d = g.Wait(now, name)
		g.waits[key] = d
	}
	return d
}

// waitKey tells apart the results of Gate.Wait.
type waitKey struct {
	rank unit.RankName
	at   time.Time
}

// mayStart reports whether a query may run now: with certainty while the wait at the endpoints is short, and with the
// probability of share otherwise.
func (g *Gate) mayStart(now time.Time, t rank.Ticket) bool {
	if !g.hasRoom(t.Rank) {
		return false
	}
	share := g.share(now, t)
	if share >= 1 {
		return true
	}
	g.pressure.record(now, g.Since)
	return g.Rand() < share
}

// share returns the share of the queries like this one that may run at the present wait: all while it is short, none
// beyond the limit of the rank except for its floor.
func (g *Gate) share(now time.Time, t rank.Ticket) float64 {
	wait := g.expectedWait(now, t.Rank)
	if wait <= 0 {
		return 1
	}
	limit := g.waitLimit(now, t)
	if limit <= 0 {
		return 1
	}
	share := float64(limit-wait) / (float64(limit) * (1 - fullShare))
	return min(1, max(share, float64(g.settings.Ranks[t.Rank].Floor)))
}

// waitLimit returns the wait at the endpoints beyond which a query like this one does not start, 0 if there is no limit. A
// query may let the wait grow to what still leaves it on time, and to a part of what leaves more urgent ranks on time. One
// that can't be on time any more only takes what none of the ranks misses.
func (g *Gate) waitLimit(now time.Time, t rank.Ticket) time.Duration {
	if g.isLate(now, t) {
		return g.shareOfSlack(lateYieldShare, func(rank.Rank) bool { return true })
	}
	limit := time.Duration(ownShare * float64(g.slack(t.Rank)))
	if yield := g.yieldLimit(t.Rank); yield > 0 && (limit == 0 || yield < limit) {
		return yield
	}
	return limit
}

// yieldLimit returns the wait beyond which a rank yields to more urgent ones, 0 if there are none.
func (g *Gate) yieldLimit(name unit.RankName) time.Duration {
	urgency := g.settings.Ranks[name].Urgency
	return g.shareOfSlack(yieldShare, func(r rank.Rank) bool { return r.Urgency < urgency })
}

// shareOfSlack returns a share of the smallest slack of the ranks that counts returns true for and that have had more than a
// few of the queries lately, 0 if there is none.
func (g *Gate) shareOfSlack(share float64, counts func(rank.Rank) bool) time.Duration {
	smallest := time.Duration(0)
	for name, r := range g.settings.Ranks {
		if !counts(r) || g.state(name).offered < minOffered {
			continue
		}
		if slack := time.Duration(share * float64(g.slack(name))); slack > 0 && (smallest == 0 || slack < smallest) {
			smallest = slack
		}
	}
	return smallest
}

// isLastCall reports whether a query that waits has to start now to be answered before its deadline. The wait may be shorter
// than it seems, so that it is worth a try while the run time alone fits.
func (g *Gate) isLastCall(now time.Time, t rank.Ticket) bool {
	fits := now.Add(g.state(t.Rank).runTime.Mean()).Before(t.Deadline)
	return fits && g.isHopeless(now.Add(lastCall), t)
}

// slack returns how long a query of a rank may wait and still be on time, 0 if the rank has no target.
func (g *Gate) slack(name unit.RankName) time.Duration {
	target := g.settings.Ranks[name].Target
	return max(target-g.state(name).runTime.Mean(), time.Duration(minSlackShare*float64(target)))
}

// isLate reports whether a query would not be on time even if it started now and met no wait.
func (g *Gate) isLate(now time.Time, t rank.Ticket) bool {
	return !t.Target.IsZero() && now.Add(g.state(t.Rank).runTime.Mean()).After(t.Target)
}

// isHopeless reports whether a query can't be answered before its deadline, judging by the wait at the endpoints.
func (g *Gate) isHopeless(now time.Time, t rank.Ticket) bool {
	if !now.Before(t.Deadline) {
		return true
	}
	wait := g.expectedWait(now, t.Rank)
	if float64(wait) < hopelessShare*float64(t.Deadline.Sub(now)) {
		return false
	}
	return now.Add(wait + g.state(t.Rank).runTime.Mean()).After(t.Deadline)
}

// recordOffer counts a query in the shares of the ranks.
func (g *Gate) recordOffer(name unit.RankName) {
	for _, s := range g.states {
		s.offered *= 1 - offeredWeight
	}
	g.state(name).offered += offeredWeight
}

// recordRunTime adds the run time of a query that met no wait at the endpoints to the average of its rank.
func (g *Gate) recordRunTime(now time.Time, name unit.RankName, runTime time.Duration) {
	if runTime > 0 && g.expectedWait(now, name) <= 0 {
		g.state(name).runTime.Add(runTime)
	}
}

// pickWaiting returns which of the waiting queries of a rank is next: the newest one if it can be on time, else the
// oldest. While there is too little room, the queries that have waited for long are the ones that miss their target.
func (g *Gate) pickWaiting(now time.Time, tickets []rank.Ticket) int {
	last := len(tickets) - 1
	if t := tickets[last]; !t.Target.IsZero() && !g.isLate(now, t) {
		return last
	}
	return 0
}
