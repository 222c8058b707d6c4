// Package rank implements a bounded priority queue that serves the most urgent rank first and guarantees every other
// rank a minimum share of the grants (its floor). Both the admission of queries and the queue in front of an endpoint
// use it.
package rank

import (
	"slices"
	"sort"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// intervalWeight is the weight of a new sample in the average time between two grants to a rank.
	intervalWeight = 1.0 / 8
	// grantCredit is the credit at which a rank is due for a grant. It is slightly below 1 to absorb the rounding
	// errors of summed floors.
	grantCredit = 1 - 1e-9
	// maxCredit bounds the credit that a rank accumulates while it waits and is not allowed to run.
	maxCredit = 2.0
	// leastUrgent is the urgency of tickets whose rank is not configured.
	leastUrgent unit.Urgency = 1 << 20
)

// Ticket is a unit of work that waits for permission to run.
type Ticket struct {
	ID       uint64
	Rank     unit.RankName
	Deadline time.Time
	// Target is until when an answer has its full value to the caller; the zero time means that it is not known.
	Target time.Time
}

// Decision is the decision on a ticket: it may run, or it is rejected. A ticket without a decision waits.
type Decision struct {
	Ticket Ticket
	// Code is CodeWhole if the work may run, and otherwise the reason for its rejection.
	Code unit.Code
}

// Rank holds a rank's scheduling parameters.
type Rank struct {
	Urgency unit.Urgency
	// Floor is the share of grants that the rank receives even when other ranks flood the queue.
	Floor unit.Share
	// Target is the time within which an answer has its full value; 0 means that it is not known.
	Target time.Duration
}

// FromCatalog returns the ranks of a configuration.
func FromCatalog(c *catalog.Catalog) map[unit.RankName]Rank {
	all := make(map[unit.RankName]Rank, len(c.Ranks))
	for name, r := range c.Ranks {
		all[name] = Rank{Urgency: r.Urgency, Floor: r.Floor}
	}
	return all
}

// rankQueue holds the waiting tickets of one rank.
type rankQueue struct {
	name    unit.RankName
	rank    Rank
	tickets []Ticket
	// credit grows by the floor with each grant made while the rank waits. At 1 the rank is due for a grant.
	credit float64
	// lastGrant is when the rank last received a grant or, if that is later, when it began to wait. It is zero while
	// nothing waits.
	lastGrant time.Time
	// interval is the average time between two grants while the rank waits.
	interval time.Duration
}

// Queue holds waiting tickets. It is not safe for concurrent use.
type Queue struct {
	// Pick returns the index of the ticket of one rank that is served next; nil means the oldest. The tickets are in the
	// order in which they came, and there is at least one.
	Pick func(now time.Time, tickets []Ticket) int

	// maxWaiting is how many tickets of one rank may wait.
	maxWaiting int
	// queues are ordered from the most to the least urgent rank.
	queues []*rankQueue
}

// New returns an empty queue in which at most maxWaiting tickets of each rank may wait.
func New(maxWaiting int, ranks map[unit.RankName]Rank) *Queue {
	q := &Queue{}
	q.Change(maxWaiting, ranks)
	return q
}

// Change applies a new maxWaiting and new ranks. Tickets of a rank that is no longer configured are served last.
func (q *Queue) Change(maxWaiting int, ranks map[unit.RankName]Rank) {
	q.maxWaiting = maxWaiting
	for _, rq := range q.queues {
		r, ok := ranks[rq.name]
		if !ok {
			r = Rank{Urgency: leastUrgent}
		}
		rq.rank = r
	}
	for name, r := range ranks {
		if q.find(name) == nil {
			q.queues = append(q.queues, &rankQueue{name: name, rank: r})
		}
	}
	q.sort()
}

// Push adds a ticket. It reports false if the maximum number of tickets of the rank already wait.
func (q *Queue) Push(now time.Time, t Ticket) bool {
	rq := q.find(t.Rank)
	if rq == nil {
		rq = &rankQueue{name: t.Rank, rank: Rank{Urgency: leastUrgent}}
		q.queues = append(q.queues, rq)
		q.sort()
	}
	if len(rq.tickets) >= q.maxWaiting {
		return false
	}
	if len(rq.tickets) == 0 {
		rq.lastGrant = now
	}
	rq.tickets = append(rq.tickets, t)
	return true
}

// Pop removes and returns the next ticket among the ranks for which allowed returns true: the one that Pick selects, of the
// most urgent rank that is due for a grant because of its floor or, if none is due, of the most urgent rank. It reports
// false if there is no such ticket. It charges the grant to the rank's credit, also if the caller then rejects the
// ticket.
func (q *Queue) Pop(now time.Time, allowed func(name unit.RankName) bool) (Ticket, bool) {
	var next *rankQueue
	nextDue := false
	for _, rq := range q.queues {
		if len(rq.tickets) == 0 || !allowed(rq.name) {
			continue
		}
		due := rq.credit+float64(rq.rank.Floor) >= grantCredit
		if next == nil || due && !nextDue {
			next, nextDue = rq, due
		}
	}
	if next == nil {
		return Ticket{}, false
	}
	q.accountGrant(next)
	return next.pop(now, q.next(now, next)), true
}

// Next returns the ticket of a rank that Pop would return; it reports false if none waits.
func (q *Queue) Next(now time.Time, name unit.RankName) (Ticket, bool) {
	rq := q.find(name)
	if rq == nil || len(rq.tickets) == 0 {
		return Ticket{}, false
	}
	return rq.tickets[q.next(now, rq)], true
}

// next returns the index of the ticket that a rank with waiting tickets is served next.
func (q *Queue) next(now time.Time, rq *rankQueue) int {
	if q.Pick == nil {
		return 0
	}
	return q.Pick(now, rq.tickets)
}

// RemoveAll removes the waiting tickets for which drop returns true, and returns them.
func (q *Queue) RemoveAll(drop func(Ticket) bool) []Ticket {
	var dropped []Ticket
	for _, rq := range q.queues {
		rq.tickets = slices.DeleteFunc(rq.tickets, func(t Ticket) bool {
			if !drop(t) {
				return false
			}
			dropped = append(dropped, t)
			return true
		})
		rq.resetIfEmpty()
	}
	return dropped
}

// accountGrant updates the credits for one grant: every waiting rank earns its floor, and the granted rank pays 1.
func (q *Queue) accountGrant(granted *rankQueue) {
	for _, rq := range q.queues {
		if len(rq.tickets) > 0 {
			rq.credit = min(rq.credit+float64(rq.rank.Floor), maxCredit)
		}
	}
	granted.credit = max(0, granted.credit-1)
}

// Remove removes a waiting ticket, whose caller has given up. It reports false if the ticket is not waiting.
func (q *Queue) Remove(id uint64) bool {
	for _, rq := range q.queues {
		for i, t := range rq.tickets {
			if t.ID == id {
				rq.tickets = append(rq.tickets[:i:i], rq.tickets[i+1:]...)
				rq.resetIfEmpty()
				return true
			}
		}
	}
	return false
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int {
	n := 0
	for _, rq := range q.queues {
		n += len(rq.tickets)
	}
	return n
}

// Waiting returns the number of waiting tickets of a rank.
func (q *Queue) Waiting(name unit.RankName) int {
	rq := q.find(name)
	if rq == nil {
		return 0
	}
	return len(rq.tickets)
}

// EstimatedWait returns how long another ticket of a rank is expected to wait: the number of tickets ahead times the
// recent interval between two grants to the rank. It is 0 if no ticket of the rank waits.
func (q *Queue) EstimatedWait(now time.Time, name unit.RankName) time.Duration {
	rq := q.find(name)
	if rq == nil || len(rq.tickets) == 0 {
		return 0
	}
	interval := max(rq.interval, now.Sub(rq.lastGrant))
	return interval * time.Duration(len(rq.tickets))
}

// find returns the queue of a rank, or nil if there is none.
func (q *Queue) find(name unit.RankName) *rankQueue {
	for _, rq := range q.queues {
		if rq.name == name {
			return rq
		}
	}
	return nil
}

// sort orders the ranks by urgency, and ranks of the same urgency by name.
func (q *Queue) sort() {
	sort.Slice(q.queues, func(i, j int) bool {
		a, b := q.queues[i], q.queues[j]
		if a.rank.Urgency != b.rank.Urgency {
			return a.rank.Urgency < b.rank.Urgency
		}
		return a.name < b.name
	})
}

// pop removes and returns the ticket at an index.
func (rq *rankQueue) pop(now time.Time, i int) Ticket {
	t := rq.tickets[i]
	if i == 0 {
		rq.tickets = rq.tickets[1:]
	} else {
		rq.tickets = slices.Delete(rq.tickets, i, i+1)
	}
	rq.interval += time.Duration(float64(now.Sub(rq.lastGrant)-rq.interval) * intervalWeight)
	rq.lastGrant = now
	rq.resetIfEmpty()
	return t
}

// resetIfEmpty clears the credit of a rank with no waiting tickets, so that it accumulates none for later.
func (rq *rankQueue) resetIfEmpty() {
	if len(rq.tickets) == 0 {
		rq.lastGrant = time.Time{}
		rq.credit = 0
		rq.tickets = nil
	}
}
