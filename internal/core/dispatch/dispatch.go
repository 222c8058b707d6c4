package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/outlook"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/refusal"
	"basilspan/internal/policy/replica"
	"basilspan/internal/policy/routing"
)

// Dispatcher serves requests. The function fields are its seams.
type Dispatcher struct {
	Now     func() time.Time
	Rand    func() float64
	Views   *outlook.Views
	Metrics *metric.Set
	Log     *slog.Logger
	// Send starts a call.
	Send func(now time.Time, call leaf.Call, done func(leaf.End)) *leaf.Flight
	// EncodeMessage encodes what the calls of a request have in common.
	EncodeMessage func(
		id unit.RequestID, method, uri, host string, fields []leaf.Field, body []byte,
	) (*leaf.Message, error)
	// Call calls a method of another entry VM.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// OnRequestEnd is told of each request's end.
	OnRequestEnd func(Record)

	// mu guards what all requests share.
	mu              sync.Mutex
	endpointTracker *replica.Tracker
	allowance       *allowance.Allowance
	splitter        routing.Splitter
	portionTracker  *divide.Tracker
	longestWaits    map[unit.RouteName]time.Duration
	// finishLag is how long answers in part have taken from their cut to their end.
	finishLag gather.Lag
	lastSweep time.Time
}

// New makes the dispatcher of an entry VM in that data centre.
func New(node unit.NodeID, centre unit.CentreName, limits allowance.Limits, rand func() float64) *Dispatcher {
	return &Dispatcher{
		portionTracker:  divide.New(node, rand),
		Rand:            rand,
		endpointTracker: replica.New(centre, rand),
		allowance:       allowance.New(limits),
		longestWaits:    make(map[unit.RouteName]time.Duration),
	}
}

// SetExtra changes the bounds of hedges and retries. Whether the VM has been restarted does not change.
func (d *Dispatcher) SetExtra(limits allowance.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits.Fresh = d.allowance.Limits.Fresh
	d.allowance.SetLimits(limits)
}

// sweepPeriod is the time between two sweeps of endpoints that are no longer used.
const sweepPeriod = 10 * time.Second

// Serve answers a request. It returns once the answer is final or ctx ends because the caller has left.
func (d *Dispatcher) Serve(ctx context.Context, q *Request) Answer {
	v := d.Views.Load()
	if !v.Complete() {
		return d.refuse(q, v, nil, unit.CodeNoConfig)
	}
	if code := v.Table.Limits.Exceeded(q.HeaderSize, unit.Bytes(len(q.Body))); code != 0 {
		return d.refuse(q, v, nil, code)
	}
	route := v.Table.Match(q.Host, q.Path)
	if route == nil {
		return d.refuse(q, v, nil, unit.CodeNoRoute)
	}
	message, err := d.EncodeMessage(q.ID, q.Method, q.URI, string(q.Host), q.Fields, q.Body)
	if err != nil {
		return d.refuse(q, v, route, unit.CodeBadRequest)
	}
	j := d.newJob(v, route, q, message)
	if plan := d.planPortions(j); len(plan) > 1 {
		return d.serveDivided(ctx, j, plan)
	}
	f := d.newFanout(j, j.services, j.params, nil)
	f.run(ctx)
	answer := f.answer()
	d.recordFinishLag(j, answer)
	d.OnRequestEnd(f.endRecord(answer))
	return answer
}

// Refuse answers a request that is not to be served, for that reason.
func (d *Dispatcher) Refuse(q *Request, code unit.Code) Answer {
	return d.refuse(q, d.Views.Load(), nil, code)
}

// refuse answers a request of which nothing was sent.
func (d *Dispatcher) refuse(q *Request, v *outlook.View, route *routing.Route, code unit.Code) Answer {
	var name unit.RouteName
	if route != nil {
		name = route.Name
	}
	d.OnRequestEnd(refusalRecord(q, v, name, code, d.Now()))
	return Answer{Code: code, RetryAfter: d.retryAfter(code, route)}
}

func (d *Dispatcher) retryAfter(code unit.Code, route *routing.Route) time.Duration {
	switch code {
	case unit.CodeNoRoute, unit.CodeBadRequest, unit.CodeTooLarge, unit.CodeHeaderTooLarge, unit.CodeStopping:
		// It would be refused again, or another VM takes it at once.
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var typical time.Duration
	if route != nil {
		typical = d.endpointTracker.TypicalLatency(route.Name)
	}
	return refusal.RetryAfter(code, typical, d.Rand())
}

// job is a request with all that decides about it.
type job struct {
	view     *outlook.View
	route    *routing.Route
	request  *Request
	message  *leaf.Message
	services []unit.ServiceName
	params   gather.Params
}

// newJob picks the services of a request and gives it its bounds.
func (d *Dispatcher) newJob(v *outlook.View, route *routing.Route, q *Request, m *leaf.Message) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(q.Arrived)
	j := &job{view: v, route: route, request: q, message: m, services: route.Shards}
	if !route.Gathers() {
		j.services = []unit.ServiceName{d.splitter.Pick(v.Table.Version, route)}
	}
	j.params = d.requestParams(route, q, len(j.services))
	return j
}

// newFanout makes the run of a job over some of its services. again says for each of them whether it has been sent to
// before, so that its first attempt is an extra one; nil says that none has.
func (d *Dispatcher) newFanout(j *job, services []unit.ServiceName, params gather.Params, sentBefore []bool) *fanout {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &fanout{job: j, dispatcher: d, services: services, sentBefore: sentBefore}
	f.endpoints = make([][]directory.Endpoint, len(services))
	for i, s := range services {
		f.endpoints[i] = j.view.Endpoints[s]
		if !f.wasSentBefore(i) {
			d.allowance.RecordRequest(j.request.Arrived, s)
		}
	}
	params.Shards = len(services)
	f.machine = &gather.Machine{Params: params, Choose: f.chooseEndpoint, AllowExtra: f.allowExtra}
	return f
}

// requestParams gives the bounds of a request.
func (d *Dispatcher) requestParams(route *routing.Route, q *Request, shards int) gather.Params {
	// The longest wait that the route's callers have stated tells how long ago a caller that states less began.
	d.longestWaits[route.Name] = max(d.longestWaits[route.Name], q.Remaining)
	caller := gather.Caller{
		Arrived: q.Arrived, Remaining: q.Remaining, MaxRemaining: d.longestWaits[route.Name], RoundTrip: q.RoundTrip, NewConnection: q.NewConnection,
	}
	timing := gather.Timing{TypicalLatency: d.endpointTracker.TypicalLatency(route.Name), Target: route.TargetLatency, Timeout: route.Timeout, Remaining: q.Remaining}
	params := gather.Params{
		Shards:           shards,
		MinShare:         1,
		AttemptsPerShard: route.Attempts,
		Idempotent:       route.Repeatable,
		HedgeAfter:       timing.HedgeAfter(),
		Deadline:         timing.Deadline(q.Arrived),
	}
	if route.Gathers() {
		params.MinShare = route.MinShare
		params.PartialDeadline = timing.PartialDeadline(caller, d.finishLag.UpperEstimate())
	}
	return params
}

// recordFinishLag takes the end of an answer that was cut.
func (d *Dispatcher) recordFinishLag(j *job, a Answer) {
	now := d.Now()
	if a.Code != unit.CodePartial || now.Before(j.params.PartialDeadline) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishLag.Record(now.Sub(j.params.PartialDeadline))
}

func (d *Dispatcher) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepPeriod {
		return
	}
	d.lastSweep = now
	d.endpointTracker.Forget(now)
}
