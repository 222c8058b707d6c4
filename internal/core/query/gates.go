package query

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/trace"
	"basilspan/internal/core/turn"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/place"
	"basilspan/internal/policy/rank"
)

// waitingQueries is how many queries of one rank may wait for a search.
const waitingQueries = 256

// gates holds one gate for each search.
type gates struct {
	// record begins the log of a new gate; nil records nothing.
	record func(now time.Time, search unit.SearchName) *trace.GateLog

	mu       sync.Mutex
	bySearch map[unit.SearchName]*gate
}

// gate is the admission of one search with those who wait for it. Its line's lock guards the rest.
type gate struct {
	line  turn.WaitQueue
	admit *admit.Gate
	// log records what the gate decides; nil records nothing.
	log *trace.GateLog
	// catalog and live are what the settings were made from.
	catalog *catalog.Catalog
	live    int
}

// enter waits until the query may run; CodeWhole means that it may.
func (g *gates) enter(ctx context.Context, now time.Time, v *view.View, q fanout.Query) unit.Code {
	one := g.find(now, q.Search)
	one.follow(now, v, q.Search)
	return one.line.Wait(ctx, func(id uint64) []rank.Verdict {
		ticket := rank.Ticket{ID: id, Rank: q.Rank, Deadline: q.Deadline}
		return one.log.Ticket(now, ticket, one.admit.Offer(now, ticket))
	}, func(id uint64) bool { return one.log.Withdraw(now, id, one.admit.Withdraw(id)) })
}

// leave takes the end of a running query, which took that long.
func (g *gates) leave(now time.Time, q fanout.Query, took time.Duration) {
	one := g.find(now, q.Search)
	took = admit.ChargedRunTime(now, q.Deadline, took)
	one.line.Update(func() []rank.Verdict { return one.log.Done(now, q.Rank, took, one.admit.Done(now, q.Rank, took)) })
}

func (g *gates) find(now time.Time, search unit.SearchName) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bySearch == nil {
		g.bySearch = make(map[unit.SearchName]*gate)
	}
	one := g.bySearch[search]
	if one == nil {
		one = &gate{admit: admit.New(admit.Settings{})}
		if g.record != nil {
			one.log = g.record(now, search)
		}
		g.bySearch[search] = one
	}
	return one
}

// follow takes over the view's ranks, slots and entry VMs when they differ from those that the gate was set by.
func (g *gate) follow(now time.Time, v *view.View, search unit.SearchName) {
	live := place.CountLive(v.Members)
	g.line.Update(func() []rank.Verdict {
		if g.catalog == v.Catalog && g.live == live {
			return nil
		}
		g.catalog, g.live = v.Catalog, live
		settings := admit.Settings{
			MaxRunning: admit.MaxRunning(v.Catalog.Searches[search], live),
			MaxWaiting: waitingQueries,
			Ranks:      rank.FromCatalog(v.Catalog),
		}
		return g.log.Change(now, settings, g.admit.Change(now, settings))
	})
}

// leave takes the end of a query that entered at that time.
func (r *Runner) leave(q fanout.Query, entered time.Time) {
	now := r.Now()
	r.gates.leave(now, q, now.Sub(entered))
}
