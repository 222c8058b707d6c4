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
	// returnTime is how long before a request's cut the VMs that serve portions of it answer: it covers the way back and
	// the merge.
	returnTime = 4 * time.Millisecond
)

// errStopping means that a VM takes no more portions.
var errStopping = errors.New("the entry VM is stopping")

// wirePortion is some of the shards of a request. The times are in microseconds from the sending of the call.
type wirePortion struct {
	ID       string             `json:"id"`
	Method   string             `json:"method"`
	Head     []byte             `json:"head"`
	Body     []byte             `json:"body,omitempty"`
	Route    string             `json:"route"`
	Services []unit.ServiceName `json:"services"`
	Top      int                `json:"top"`
	Attempts int                `json:"attempts"`
	Target   int64              `json:"target"`
	Cut      int64              `json:"cut"`
	End      int64              `json:"end"`
}

// wirePart is the result: the greatest records of the shards that have answered, and for each shard the signature of
// its reply, or nothing, and how many endpoints it was sent to.
type wirePart struct {
	Records []byte   `json:"records"`
	Seals   []string `json:"seals"`
	Sent    []int    `json:"sent"`
	Hedges  int      `json:"hedges,omitempty"`
	Retries int      `json:"retries,omitempty"`
	Denied  int      `json:"denied,omitempty"`
}

// part is what became of a portion.
type part struct {
	wirePart
	details []Detail
	// ran says whether any endpoint may have run it.
	ran bool
}

// ask has another VM serve a portion.
func (d *Dispatcher) ask(ctx context.Context, j *job, services []unit.ServiceName, to unit.Address) (wirePart, error) {
	now := d.Now()
	call := wirePortion{
		ID:       string(j.message.ID),
		Method:   j.message.Method,
		Head:     j.message.Head,
		Body:     j.message.Body,
		Route:    string(j.route.Name),
		Services: services,
		Top:      j.route.Top,
		Attempts: j.route.Attempts,
		Target:   j.route.Target.Microseconds(),
		Cut:      j.terms.PartialDeadline.Sub(now).Microseconds(),
		End:      j.terms.Deadline.Sub(now).Microseconds(),
	}
	var result wirePart
	if err := d.Call(ctx, to, methodPortion, call, &result); err != nil {
		return wirePart{}, err
	}
	if len(result.Seals) != len(services) || len(result.Sent) != len(services) {
		return wirePart{}, errors.Newf("entry VM %s answers for %d shards of %d", to, len(result.Seals), len(services))
	}
	return result, nil
}

// AnswerPortions has link answer portions of other VMs' requests while ready says so.
func (d *Dispatcher) AnswerPortions(link *peer.Link, ready func() bool) {
	peer.Handle(link, methodPortion, func(ctx context.Context, w wirePortion) (wirePart, error) {
		if !ready() {
			return wirePart{}, peer.Refuse(errStopping)
		}
		d.Metrics.Add("portion.served", 1)
		return d.servePortion(ctx, w).wirePart, nil
	})
}

// servePortion serves some of the shards of another VM's request. The other VM has matched the request with its own
// table, so that this VM's need not be the same.
func (d *Dispatcher) servePortion(ctx context.Context, w wirePortion) part {
	now := d.Now().Add(-peer.Delay(ctx))
	route := &routing.Route{
		Name: unit.RouteName(w.Route), Repeatable: true, Attempts: w.Attempts, Top: w.Top, Shards: w.Services,
		Target: micros(w.Target),
	}
	j := &job{
		view:    d.Views.Load(),
		route:   route,
		request: &Request{ID: unit.RequestID(w.ID), Method: w.Method, Arrived: now},
		message: &leaf.Message{ID: unit.RequestID(w.ID), Method: w.Method, Head: w.Head, Body: w.Body},
	}
	d.mu.Lock()
	pace := gather.Timing{TypicalLatency: d.tracker.TypicalLatency(route.Name), Target: route.Target}
	d.mu.Unlock()
	j.terms = gather.Params{
		AttemptsPerShard: route.Attempts,
		Idempotent:       true,
		HedgeAfter:       pace.HedgeAfter(),
		PartialDeadline:  now.Add(micros(w.Cut) - returnTime),
		Deadline:         now.Add(micros(w.End)),
	}
	return d.serveServices(ctx, j, w.Services, j.terms, nil)
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// serveServices runs some of the services of a job here. With no least share in terms, it gives what has come by the cut.
func (d *Dispatcher) serveServices(
	ctx context.Context, j *job, services []unit.ServiceName, terms gather.Params, again []bool,
) part {
	f := d.newFanout(j, services, terms, again)
	f.run(ctx)
	p := part{ran: f.machine.MayHaveRun()}
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
	p.Records = merge.TopRecords(j.route.Top, bodies)
	r := f.record(Answer{Code: unit.CodePartial})
	p.Hedges, p.Retries, p.Denied, p.details = r.Hedges, r.Retries, r.Denied, r.Details
	return p
}
