package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/core/waitqueue"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/routing"
)

const (
	// maxWaitingRequests is how many requests of one route may wait for admission to a service.
	maxWaitingRequests = 256
	// floorShare is the share of a route's requests that are admitted whatever more urgent ones need.
	floorShare unit.Share = 0.05
	// askTimeout is how long other VMs may take to tell how long requests wait at the endpoints.
	askTimeout = 25 * time.Millisecond
	// delayLogTime is the wait for admission from which on a request counts as delayed.
	delayLogTime = 10 * time.Millisecond
	// gateIdleTime is how long a gate without requests is kept.
	gateIdleTime = time.Minute
)

// admission decides which requests run when the endpoints have too little room for all of them. It has a gate for each
// service that requests go to, which for a search is the first of its shards. It is safe for concurrent use.
type admission struct {
	now  func() time.Time
	rand func() float64

	// mu guards the state below. It is taken while the lock of a gate's queue is held, and never the other way round.
	mu    sync.Mutex
	waits admit.Waits
	// work is how long a call of a route takes that finds a free slot.
	work  map[unit.RouteName]*rank.Average
	gates map[unit.ServiceName]*requestGate
	// since is when the first request came.
	since time.Time
	// draining is set once a planned stop of this VM has begun.
	draining bool
}

// requestGate is the gate of a service with the requests that wait for it. The lock of the queue guards the other fields
// down to ticking, and the lock of the admission the rest.
type requestGate struct {
	queue waitqueue.WaitQueue
	admit *admit.Gate
	// table is the routing table that the settings of admit were computed from, and routes the routes that it serves.
	table   *routing.Table
	routes  map[unit.RouteName]*routing.Route
	ticking bool

	lastUsed time.Time
	// asked is closed once the question to other VMs that is under way has been answered; nil means that there is none.
	// askedAt is when the last one was.
	asked   chan struct{}
	askedAt time.Time
}

func newAdmission(now func() time.Time, rand func() float64) *admission {
	return &admission{
		now: now, rand: rand,
		work:  make(map[unit.RouteName]*rank.Average),
		gates: make(map[unit.ServiceName]*requestGate),
	}
}

// enter waits until a request is admitted or refused, or ctx ends. It returns CodeWhole if the request may run, and the
// reason otherwise. leave must follow if it may run.
func (a *admission) enter(ctx context.Context, j *job, ask func()) (turn, unit.Code) {
	g := a.gate(j)
	ticket := rank.Ticket{Rank: unit.RankName(j.route.Name), Deadline: j.params.Deadline, Target: j.target}
	arrived := a.now()
	if a.shouldAsk(g, arrived, j, ticket) {
		a.refresh(g, ask)
	}
	ctx, cancel := context.WithDeadline(ctx, j.params.End())
	defer cancel()
	code := g.queue.Wait(ctx, func(id uint64) []rank.Decision {
		ticket.ID = id
		decisions := g.admit.Offer(a.now(), ticket)
		a.tickWhileWaiting(g, ask)
		return decisions
	}, func(id uint64) bool { return g.admit.Withdraw(id) })
	t := turn{gate: g, rank: ticket.Rank, started: a.now()}
	t.held = t.started.Sub(arrived)
	if code != unit.CodeWhole || t.held > delayLogTime {
		g.queue.Update(func() []rank.Decision {
			t.wait, t.pressed = g.admit.Wait(t.started, t.rank), g.admit.Pressed(t.started)
			return nil
		})
	}
	return t, code
}

// leave records the end of an admitted request. Only the time of a whole answer says how long requests take.
func (a *admission) leave(t turn, answer Answer) {
	now := a.now()
	took := time.Duration(0)
	if answer.Code == unit.CodeWhole {
		took = now.Sub(t.started)
	}
	t.gate.queue.Update(func() []rank.Decision { return t.gate.admit.Done(now, t.rank, took) })
}

// shouldAsk reports whether to ask other VMs for the waits at the endpoints before a request is decided on. A search that
// this VM serves alone meets all of its shards often enough to know them.
func (a *admission) shouldAsk(g *requestGate, now time.Time, j *job, t rank.Ticket) bool {
	if j.route.Gathers() && len(j.view.Groups(j.route.Name)) == 0 {
		return false
	}
	a.mu.Lock()
	suspected := time.Duration(0)
	if newest, age, ok := a.waits.Newest(now, j.services[0]); ok && !j.route.Gathers() {
		suspected = newest - age
	}
	a.mu.Unlock()
	ask := false
	g.queue.Update(func() []rank.Decision {
		ask = g.admit.ShouldAsk(now, t, suspected)
		return nil
	})
	return ask
}

// refresh has other VMs asked, unless they have been asked for this gate lately, and waits for the answers.
func (a *admission) refresh(g *requestGate, ask func()) {
	a.mu.Lock()
	if asked := g.asked; asked != nil {
		a.mu.Unlock()
		<-asked
		return
	}
	if !g.askedAt.IsZero() && a.now().Sub(g.askedAt) < admit.AskPeriod {
		a.mu.Unlock()
		return
	}
	asked := make(chan struct{})
	g.asked = asked
	a.mu.Unlock()
	ask()
	a.mu.Lock()
	g.asked, g.askedAt = nil, a.now()
	a.mu.Unlock()
	close(asked)
}

// tickWhileWaiting has the gate look at its waiting requests periodically until there are none. The caller holds the
// lock of the queue.
func (a *admission) tickWhileWaiting(g *requestGate, ask func()) {
	if g.ticking || !g.admit.HasWaiting() {
		return
	}
	g.ticking = true
	time.AfterFunc(admit.TickPeriod, func() {
		a.refresh(g, ask)
		g.queue.Update(func() []rank.Decision {
			g.ticking = false
			if a.isDraining() {
				// The request came while the stop began.
				return g.admit.RejectWaiting(unit.CodeStopping)
			}
			decisions := g.admit.Tick(a.now())
			a.tickWhileWaiting(g, ask)
			return decisions
		})
	})
}

// gate returns the gate of a job's service with the settings of its routing table, and creates it for the first request.
func (a *admission) gate(j *job) *requestGate {
	service := j.services[0]
	a.mu.Lock()
	now := a.now()
	if a.since.IsZero() {
		a.since = now
	}
	g := a.gates[service]
	if g == nil {
		g = a.newGate(service)
		a.gates[service] = g
	}
	g.lastUsed = now
	maxWaiting := maxWaitingRequests
	if a.draining {
		maxWaiting = 0
	}
	a.mu.Unlock()
	g.queue.Update(func() []rank.Decision {
		if g.table != nil && j.view.Table.Version <= g.table.Version {
			return nil
		}
		g.table, g.routes = j.view.Table, routesTo(j.view.Table, service)
		return g.admit.Change(now, admit.Settings{MaxWaiting: maxWaiting, Ranks: ranksOf(g.routes)})
	})
	return g
}

// drain refuses the requests that wait, because this VM stops. From now on none waits.
func (a *admission) drain() {
	a.mu.Lock()
	a.draining = true
	all := slices.Collect(maps.Values(a.gates))
	a.mu.Unlock()
	for _, g := range all {
		g.queue.Update(func() []rank.Decision {
			g.table = nil
			return g.admit.RejectWaiting(unit.CodeStopping)
		})
	}
}

// isDraining reports whether a planned stop of this VM has begun.
func (a *admission) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// newGate returns the gate of a service, which decides by the waits at the endpoints of its routes. The caller holds mu.
func (a *admission) newGate(service unit.ServiceName) *requestGate {
	g := &requestGate{admit: admit.New(admit.Settings{})}
	g.admit.Rand = a.rand
	g.admit.Since = a.since
	g.admit.Wait = func(now time.Time, name unit.RankName) time.Duration {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.expectedWait(now, service, g.routes[unit.RouteName(name)])
	}
	return g
}

// expectedWait returns how long a request of a route is expected to wait at the endpoints: those of all its shards or, if it
// goes to one service, of that one. The caller holds mu.
func (a *admission) expectedWait(now time.Time, service unit.ServiceName, route *routing.Route) time.Duration {
	switch {
	case route == nil:
		return 0
	case route.Gathers():
		return a.waits.ExpectedAnswer(now, route.Shards, route.MinShare)
	default:
		return a.waits.Expected(now, service)
	}
}

// routesTo returns the routes of a table whose requests go to a service, as the first of their shards or as one of a split.
func routesTo(t *routing.Table, service unit.ServiceName) map[unit.RouteName]*routing.Route {
	all := make(map[unit.RouteName]*routing.Route)
	for _, r := range t.Routes() {
		if r.Gathers() && r.Shards[0] == service {
			all[r.Name] = r
		}
		for _, p := range r.Split {
			if p.Service == service {
				all[r.Name] = r
			}
		}
	}
	return all
}

// ranksOf returns a rank for each route.
func ranksOf(routes map[unit.RouteName]*routing.Route) map[unit.RankName]rank.Rank {
	all := make(map[unit.RankName]rank.Rank, len(routes))
	for name, r := range routes {
		all[unit.RankName(name)] = rank.Rank{Urgency: r.Urgency, Floor: floorShare, Target: r.TargetLatency}
	}
	return all
}

// sweep drops the gates that have not been used for long, and what is no longer believed of waits.
func (a *admission) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits.Forget(now)
	for service, g := range a.gates {
		if now.Sub(g.lastUsed) > gateIdleTime {
			delete(a.gates, service)
		}
	}
}
