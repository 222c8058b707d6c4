package query

import (
	"context"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// driver carries out the actions of one query's machine.
type driver struct {
	runner    *Runner
	query     fanout.Query
	endpoints map[unit.EndpointID]catalog.Endpoint
	// replies has room for every attempt, so that a late one never blocks its sender.
	replies chan fanout.Reply
	cancels map[unit.AttemptID]context.CancelFunc
}

// newDriver makes the driver of a query that makes at most that many attempts.
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

// do carries out actions in order.
func (d *driver) do(ctx context.Context, actions []fanout.Action) {
	for _, action := range actions {
		switch action.Kind {
		case fanout.ActionSend:
			d.send(ctx, action.Attempt)
		case fanout.ActionCancel:
			d.cancel(action.Attempt.ID)
		}
	}
}

// send starts an attempt. The runner waits for its end, also when the query has its answer before.
func (d *driver) send(ctx context.Context, attempt fanout.Attempt) {
	ctx, d.cancels[attempt.ID] = context.WithCancel(ctx)
	e := d.endpoints[attempt.Endpoint]
	call := endpoint.Call{Query: d.query, Attempt: attempt, Address: e.Address, MaxConns: e.Connections}
	d.runner.fleet.sent(d.runner.Now(), call)
	d.runner.wg.Add(1)
	go func() {
		defer d.runner.wg.Done()
		d.replies <- d.runner.attempt(ctx, call)
	}()
}

func (d *driver) cancel(id unit.AttemptID) {
	if cancel := d.cancels[id]; cancel != nil {
		cancel()
	}
}

// close cancels what is still under way. The senders end on their own; their replies fit into the channel.
func (d *driver) close() {
	for _, cancel := range d.cancels {
		cancel()
	}
}
