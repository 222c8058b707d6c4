package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/merge"
	"basilspan/internal/policy/routing"
)

const (
	// methodPortion asks a VM to serve some of a request's shards.
	methodPortion peer.Method = "portion"
	// portionReturnTime is how long before a request's cut the VMs that serve portions of it answer: it covers the way back and
	// the merge.
	portionReturnTime = 4 * time.Millisecond
)

// errStopping means that a VM takes no more portions.
var errStopping = errors.New("the entry VM is stopping")

// wirePortion is some of the shards of a request. The times are in microseconds from the sending of the call.
type wirePortion struct {
	ID              string             `json:"id"`
	Method          string             `json:"method"`
	Head            []byte             `json:"head"`
	Body            []byte             `json:"body,omitempty"`
	Route           string             `json:"route"`
	Services        []unit.ServiceName `json:"services"`
	TopK            int                `json:"top"`
	Attempts        int                `json:"attempts"`
	Target          int64              `json:"target"`
	PartialDeadline int64              `json:"cut"`
	Deadline        int64              `json:"end"`
}

// wirePortionResult is the result: the greatest records of the shards that have answered, and for each shard the signature of
// its reply, or nothing, and how many endpoints it was sent to.
type wirePortionResult struct {
	Records []byte   `json:"records"`
	Seals   []string `json:"seals"`
	Sent    []int    `json:"sent"`
	Hedges  int      `json:"hedges,omitempty"`
	Retries int      `json:"retries,omitempty"`
	Denied  int      `json:"denied,omitempty"`
}

// portionResult is what became of a portion.
type portionResult struct {
	wirePortionResult
	details []Detail
	// mayHaveRun says whether any endpoint may have run it.
	mayHaveRun bool
}

// callPortion has another VM serve a portion.
func (d *Dispatcher) callPortion(ctx context.Context, j *job, services []unit.ServiceName, to unit.Address) (wirePortionResult, error) {
	now := d.Now()
	call := wirePortion{
		ID:              string(j.message.ID),
		Method:          j.message.Method,
		Head:            j.message.Head,
		Body:            j.message.Body,
		Route:           string(j.route.Name),
		Services:        services,
		TopK:            j.route.TopK,
		Attempts:        j.route.Attempts,
		Target:          j.route.TargetLatency.Microseconds(),
		PartialDeadline: j.params.PartialDeadline.Sub(now).Microseconds(),
		Deadline:        j.params.Deadline.Sub(now).Microseconds(),
	}
	var result wirePortionResult
	if err := d.Call(ctx, to, methodPortion, call, &result); err != nil {
		return wirePortionResult{}, err
	}
	if len(result.Seals) != len(services) || len(result.Sent) != len(services) {
		return wirePortionResult{}, errors.Newf("entry VM %s answers for %d shards of %d", to, len(result.Seals), len(services))
	}
	return result, nil
}

// HandlePortions has link answer portions of other VMs' requests while ready says so.
func (d *Dispatcher) HandlePortions(link *peer.Link, ready func() bool) {
	peer.Handle(link, methodPortion, func(ctx context.Context, w wirePortion) (wirePortionResult, error) {
		if !ready() {
			return wirePortionResult{}, peer.Refuse(errStopping)
		}
		d.Metrics.Add("portion.served", 1)
		return d.servePortion(ctx, w).wirePortionResult, nil
	})
}

// servePortion serves some of the shards of another VM's request. The other VM has matched the request with its own
// table, so that this VM's need not be the same.
func (d *Dispatcher) servePortion(ctx context.Context, w wirePortion) portionResult {
	now := d.Now().Add(-peer.Delay(ctx))
	route := &routing.Route{
		Name: unit.RouteName(w.Route), Repeatable: true, Attempts: w.Attempts, TopK: w.TopK, Shards: w.Services,
		TargetLatency: micros(w.Target),
	}
	j := &job{
		view:    d.Views.Load(),
		route:   route,
		request: &Request{ID: unit.RequestID(w.ID), Method: w.Method, Arrived: now},
		message: &leaf.Message{ID: unit.RequestID(w.ID), Method: w.Method, Head: w.Head, Body: w.Body},
	}
	d.mu.Lock()
	timing := gather.Timing{TypicalLatency: d.endpointTracker.TypicalLatency(route.Name), Target: route.TargetLatency}
	d.mu.Unlock()
	j.params = gather.Params{
		AttemptsPerShard: route.Attempts,
		Idempotent:       true,
		HedgeAfter:       timing.HedgeAfter(),
		PartialDeadline:  now.Add(micros(w.PartialDeadline) - portionReturnTime),
		Deadline:         now.Add(micros(w.Deadline)),
	}
	return d.serveShards(ctx, j, w.Services, j.params, nil)
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// serveShards runs some of the services of a job here. With no least share in terms, it gives what has come by the cut.
func (d *Dispatcher) serveShards(
	ctx context.Context, j *job, services []unit.ServiceName, params gather.Params, sentBefore []bool,
) portionResult {
	f := d.newFanout(j, services, params, sentBefore)
	f.run(ctx)
	p := portionResult{mayHaveRun: f.machine.MayHaveRun()}
	p.Seals = make([]string, len(services))
	p.Sent = make([]int, len(services))
	var bodies [][]byte
	for shard := range services {
		p.Sent[shard] = f.machine.Reached(shard)
		if id, ok := f.machine.Reply(shard); ok {
			p.Seals[shard] = f.replies[id].Reply.Seal
			bodies = append(bodies, f.replies[id].Reply.Body)
		}
	}
	p.Records = merge.TopRecords(j.route.TopK, bodies)
	r := f.endRecord(Answer{Code: unit.CodePartial})
	p.Hedges, p.Retries, p.Denied, p.details = r.Hedges, r.Retries, r.Denied, r.Details
	return p
}
