package query

import (
	"context"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// driver carries out the actions that the fan-out machine of one query returns.
type driver struct {
	runner    *Runner
	query     fanout.Query
	endpoints map[unit.EndpointID]catalog.Endpoint
	// replies has room for the reply of every attempt, so that a late attempt never blocks on it.
	replies chan fanout.Reply
	cancels map[unit.AttemptID]context.CancelFunc
}

// newDriver returns the driver of a query that makes at most that many attempts.
func newDriver(r *Runner, q fanout.Query, search *catalog.Search, attempts int) *driver {
	d := &driver{
		runner:    r,
		query:     q,
		endpoints: make(map[unit.EndpointID]catalog.Endpoint, len(search.Endpoints)),
		replies:   make(chan fanout.Reply, attempts),
		cancels:   make(map[unit.AttemptID]context.CancelFunc),
	}
	for _, e := range search.Endpoints {
		d.endpoints[e.ID] = e
	}
	return d
}

// execute carries out actions in order.
func (d *driver) execute(ctx context.Context, actions []fanout.Action) {
	for _, action := range actions {
		switch action.Kind {
		case fanout.ActionSend:
			d.send(ctx, action.Attempt)
		case fanout.ActionCancel:
			d.cancel(action.Attempt.ID)
		}
	}
}

// send starts an attempt in a goroutine of its own. Runner.Close waits for its end even if the query is answered
// before.
func (d *driver) send(ctx context.Context, attempt fanout.Attempt) {
	ctx, d.cancels[attempt.ID] = context.WithCancel(ctx)
	e := d.endpoints[attempt.Endpoint]
	call := endpoint.Call{Query: d.query, Attempt: attempt, Address: e.Address, MaxConns: e.Connections}
	d.runner.health.recordSent(d.runner.Now(), call)
	d.runner.wg.Add(1)
	go func() {
		defer d.runner.wg.Done()
		d.replies <- d.runner.makeAttempt(ctx, call)
	}()
}

// cancel cancels an attempt; it does nothing if the attempt was not started.
func (d *driver) cancel(id unit.AttemptID) {
	if cancel := d.cancels[id]; cancel != nil {
		cancel()
	}
}

// close cancels the attempts in flight without waiting for them. Their replies fit into the channel.
func (d *driver) close() {
	for _, cancel := range d.cancels {
		cancel()
	}
}
