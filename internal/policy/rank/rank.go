// Package rank is a bounded queue of tickets that serves the most urgent rank first and gives every other rank its
// floor. The admission of queries and the queue in front of an endpoint both use it.
package rank

import (
	"sort"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// intervalWeight is the weight of the newest sample in the average time between two grants to a rank.
	intervalWeight = 1.0 / 8
	// grantCredit is the credit at which a rank is owed a grant; it lies below 1 by more than the sums of floors round off.
	grantCredit = 1 - 1e-9
	// maxCredit bounds what a rank saves up while it waits and may not run.
	maxCredit = 2.0
	// leastUrgent is the urgency of tickets whose rank is not configured.
	leastUrgent unit.Urgency = 1 << 20
)

// Ticket is one piece of work that asks for its turn.
type Ticket struct {
	ID       uint64
	Rank     unit.RankName
	Deadline time.Time
}

// Verdict is the decision about a ticket.
type Verdict struct {
	Ticket Ticket
	// Code is CodeWhole when the work may run, and the reason when it is refused.
	Code unit.Code
}

// Rank is what the order needs to know of a rank.
type Rank struct {
	Urgency unit.Urgency
	// Floor is the share of the grants that the rank gets in every flood of other ranks.
	Floor unit.Share
}

// FromCatalog gives the ranks of a configuration.
func FromCatalog(c *catalog.Catalog) map[unit.RankName]Rank {
	all := make(map[unit.RankName]Rank, len(c.Ranks))
	for name, r := range c.Ranks {
		all[name] = Rank{Urgency: r.Urgency, Floor: r.Floor}
	}
	return all
}

// rankQueue is the waiting work of one rank.
type rankQueue struct {
	name    unit.RankName
	rank    Rank
	tickets []Ticket
	// credit grows by the floor at each grant while the rank waits; at 1 the rank is owed a grant.
	credit float64
	// lastGrant is when the rank was last granted, or began to wait; it is zero while nothing waits.
	lastGrant time.Time
	// interval is the average time between two grants while the rank waits.
	interval time.Duration
}

// Queue holds waiting tickets. It is not safe for use by several goroutines.
type Queue struct {
	// maxWaiting is how many tickets of one rank may wait.
	maxWaiting int
	// queues are ordered from the most to the least urgent rank.
	queues []*rankQueue
}

// New makes an empty queue in which at most bound tickets of one rank wait.
func New(bound int, ranks map[unit.RankName]Rank) *Queue {
	q := &Queue{}
	q.Change(bound, ranks)
	return q
}

// Change takes a change of the bound and the configured ranks. Tickets of a rank that is gone are served last.
func (q *Queue) Change(bound int, ranks map[unit.RankName]Rank) {
	q.maxWaiting = bound
	for _, l := range q.queues {
		r, ok := ranks[l.name]
		if !ok {
			r = Rank{Urgency: leastUrgent}
		}
		l.rank = r
	}
	for name, r := range ranks {
		if q.find(name) == nil {
			q.queues = append(q.queues, &rankQueue{name: name, rank: r})
		}
	}
	q.sort()
}

// Push adds a ticket; it says false when the rank's line is full.
func (q *Queue) Push(now time.Time, t Ticket) bool {
	l := q.find(t.Rank)
	if l == nil {
		l = &rankQueue{name: t.Rank, rank: Rank{Urgency: leastUrgent}}
		q.queues = append(q.queues, l)
		q.sort()
	}
	if len(l.tickets) >= q.maxWaiting {
		return false
	}
	if len(l.tickets) == 0 {
		l.lastGrant = now
	}
	l.tickets = append(l.tickets, t)
	return true
}

// Pop takes the ticket whose turn it is, among the ranks that may run: the oldest of a rank that is owed its floor,
// and otherwise the oldest of the most urgent rank.
func (q *Queue) Pop(now time.Time, allowed func(name unit.RankName) bool) (Ticket, bool) {
	var next *rankQueue
	nextDue := false
	for _, l := range q.queues {
		if len(l.tickets) == 0 || !allowed(l.name) {
			continue
		}
		due := l.credit+float64(l.rank.Floor) >= grantCredit
		if next == nil || due && !nextDue {
			next, nextDue = l, due
		}
	}
	if next == nil {
		return Ticket{}, false
	}
	q.accountGrant(next)
	return next.pop(now), true
}

// accountGrant books one grant: every waiting rank earns its floor, and the one that is granted pays for it.
func (q *Queue) accountGrant(granted *rankQueue) {
	for _, l := range q.queues {
		if len(l.tickets) > 0 {
			l.credit = min(l.credit+float64(l.rank.Floor), maxCredit)
		}
	}
	granted.credit = max(0, granted.credit-1)
}

// Remove takes back a waiting ticket; it says false when the ticket does not wait.
func (q *Queue) Remove(id uint64) bool {
	for _, l := range q.queues {
		for i, t := range l.tickets {
			if t.ID == id {
				l.tickets = append(l.tickets[:i:i], l.tickets[i+1:]...)
				l.resetIfEmpty()
				return true
			}
		}
	}
	return false
}

// Len gives the number of waiting tickets.
func (q *Queue) Len() int {
	n := 0
	for _, l := range q.queues {
		n += len(l.tickets)
	}
	return n
}

// Waiting gives the number of waiting tickets of one rank.
func (q *Queue) Waiting(name unit.RankName) int {
	l := q.find(name)
	if l == nil {
		return 0
	}
	return len(l.tickets)
}

// EstimatedWait estimates how long a further ticket of that rank would wait, from the recent grants to the rank.
func (q *Queue) EstimatedWait(now time.Time, name unit.RankName) time.Duration {
	l := q.find(name)
	if l == nil || len(l.tickets) == 0 {
		return 0
	}
	gap := max(l.interval, now.Sub(l.lastGrant))
	return gap * time.Duration(len(l.tickets))
}

func (q *Queue) find(name unit.RankName) *rankQueue {
	for _, l := range q.queues {
		if l.name == name {
			return l
		}
	}
	return nil
}

func (q *Queue) sort() {
	sort.Slice(q.queues, func(i, j int) bool {
		a, b := q.queues[i], q.queues[j]
		if a.rank.Urgency != b.rank.Urgency {
			return a.rank.Urgency < b.rank.Urgency
		}
		return a.name < b.name
	})
}

// pop takes the oldest ticket, which the caller knows to exist.
func (l *rankQueue) pop(now time.Time) Ticket {
	t := l.tickets[0]
	l.tickets = l.tickets[1:]
	l.interval += time.Duration(float64(now.Sub(l.lastGrant)-l.interval) * intervalWeight)
	l.lastGrant = now
	l.resetIfEmpty()
	return t
}

// resetIfEmpty forgets what a rank is owed once nothing of it waits, so that it saves up no grants for later.
func (l *rankQueue) resetIfEmpty() {
	if len(l.tickets) == 0 {
		l.lastGrant = time.Time{}
		l.credit = 0
		l.tickets = nil
	}
}
