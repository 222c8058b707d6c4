package query

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// gates holds one gate for each search.
type gates struct {
	mu       sync.Mutex
	next     uint64
	bySearch map[unit.SearchName]*admit.Gate
	wait     map[uint64]chan unit.Code
}

const (
	// runningQueries is how many queries of one search an entry VM runs at once.
	runningQueries = 8
	// waitingQueries is how many queries of one rank may wait for a search.
	waitingQueries = 64
)

// enter waits until the query may run; CodeWhole means that it may.
func (g *gates) enter(ctx context.Context, now time.Time, v *view.View, q fanout.Query) unit.Code {
	g.mu.Lock()
	if g.bySearch == nil {
		g.bySearch = make(map[unit.SearchName]*admit.Gate)
		g.wait = make(map[uint64]chan unit.Code)
	}
	gate := g.bySearch[q.Search]
	if gate == nil {
		gate = admit.New(admit.Settings{Running: runningQueries, Waiting: waitingQueries, Ranks: ranks(v.Catalog)})
		g.bySearch[q.Search] = gate
	}
	g.next++
	ticket := admit.Ticket{ID: g.next, Rank: q.Rank, Deadline: q.Deadline}
	verdict := make(chan unit.Code, 1)
	g.wait[ticket.ID] = verdict
	g.tell(gate.Offer(now, ticket))
	g.mu.Unlock()
	select {
	case code := <-verdict:
		return code
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.wait, ticket.ID)
	if gate.Withdraw(ticket) {
		return unit.CodeTooLate
	}
	// The verdict came at the same moment.
	return <-verdict
}

// leave takes the end of a running query.
func (g *gates) leave(now time.Time, search unit.SearchName) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.bySearch[search].Done(now))
}

func (g *gates) tell(verdicts []admit.Verdict) {
	for _, v := range verdicts {
		if c := g.wait[v.Ticket.ID]; c != nil {
			c <- v.Code
			delete(g.wait, v.Ticket.ID)
		}
	}
}

func ranks(c *catalog.Catalog) map[unit.RankName]admit.Rank {
	all := make(map[unit.RankName]admit.Rank, len(c.Ranks))
	for name, r := range c.Ranks {
		all[name] = admit.Rank{Urgency: r.Urgency, Floor: r.Floor}
	}
	return all
}
