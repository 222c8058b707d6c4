package query

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/core/waitqueue"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/ownership"
	"basilspan/internal/policy/rank"
)

// maxWaitingQueries is how many queries of one rank may wait for admission to a search.
const maxWaitingQueries = 256

// gates holds the admission gates of all searches. It is safe for concurrent use.
type gates struct {
	// newLog starts the trace log of a new gate; nil records nothing.
	newLog func(now time.Time, search unit.SearchName) *trace.GateLog

	mu       sync.Mutex
	bySearch map[unit.SearchName]*gate
}

// gate is the admission of one search and the queue of queries that wait for it. The lock of the queue guards the other
// fields.
type gate struct {
	queue waitqueue.WaitQueue
	admit *admit.Gate
	// log records the decisions of the gate; nil records nothing.
	log *trace.GateLog
	// catalog and liveVMs are the values from which the settings of admit were computed.
	catalog *catalog.Catalog
	liveVMs int
}

// admit waits until the query is admitted or refused, or ctx ends. It returns CodeWhole if the query may run, and the
// reason otherwise.
func (g *gates) admit(ctx context.Context, now time.Time, v *view.View, q fanout.Query) unit.Code {
	searchGate := g.get(now, q.Search)
	searchGate.updateSettings(now, v, q.Search)
	return searchGate.queue.Wait(ctx, func(id uint64) []rank.Decision {
		ticket := rank.Ticket{ID: id, Rank: q.Rank, Deadline: q.Deadline}
		return searchGate.log.RecordTicket(now, ticket, searchGate.admit.Offer(now, ticket))
	}, func(id uint64) bool { return searchGate.log.RecordWithdraw(now, id, searchGate.admit.Withdraw(id)) })
}

// release records the end of an admitted query, which took that long, so that the gate can admit queries that wait.
func (g *gates) release(now time.Time, q fanout.Query, took time.Duration) {
	searchGate := g.get(now, q.Search)
	took = admit.ChargedRunTime(now, q.Deadline, took)
	searchGate.queue.Update(func() []rank.Decision {
		return searchGate.log.RecordDone(now, q.Rank, took, searchGate.admit.Done(now, q.Rank, took))
	})
}

// get returns the gate of a search, and creates it for the first query.
func (g *gates) get(now time.Time, search unit.SearchName) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bySearch == nil {
		g.bySearch = make(map[unit.SearchName]*gate)
	}
	searchGate := g.bySearch[search]
	if searchGate == nil {
		searchGate = &gate{admit: admit.New(admit.Settings{})}
		if g.newLog != nil {
			searchGate.log = g.newLog(now, search)
		}
		g.bySearch[search] = searchGate
	}
	return searchGate
}

// updateSettings updates the settings of the gate if the configuration or the number of live entry VMs has changed.
func (g *gate) updateSettings(now time.Time, v *view.View, search unit.SearchName) {
	liveVMs := ownership.CountLive(v.Members)
	g.queue.Update(func() []rank.Decision {
		if g.catalog == v.Catalog && g.liveVMs == liveVMs {
			return nil
		}
		g.catalog, g.liveVMs = v.Catalog, liveVMs
		settings := admit.Settings{
			MaxRunning: admit.MaxRunning(v.Catalog.Searches[search], liveVMs),
			MaxWaiting: maxWaitingQueries,
			Ranks:      rank.FromCatalog(v.Catalog),
		}
		return g.log.RecordChange(now, settings, g.admit.Change(now, settings))
	})
}

// release records the end of a query that was admitted at that time, so that its gate can admit others.
func (r *Runner) release(q fanout.Query, admitted time.Time) {
	now := r.Now()
	r.gates.release(now, q, now.Sub(admitted))
}
