package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/replica"
	"basilspan/internal/policy/retryafter"
	"basilspan/internal/policy/routing"
	"basilspan/internal/policy/shutdown"
	"basilspan/internal/policy/warming"
)

// Dispatcher serves callers' requests. It is safe for concurrent use. The function fields are its seams and are set
// before the first request.
type Dispatcher struct {
	Now     func() time.Time
	Rand    func() float64
	Views   *discovery.Views
	Metrics *metric.Set
	Log     *slog.Logger
	// Send starts a call to an endpoint; done receives its result.
	Send func(now time.Time, call leaf.Call, done func(leaf.Result)) *leaf.Flight
	// EncodeMessage encodes the parts that all calls of a request share.
	EncodeMessage func(
		id unit.RequestID, method, uri, host string, fields []leaf.Field, body []byte,
	) (*leaf.Message, error)
	// Call calls a method of another entry VM and decodes its result.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// Memory bounds what the endpoints' replies take; nil means no bound.
	Memory *memory.Account
	// OnRequestEnd is called once for each caller's request, when its answer is final. It is not called for portions.
	OnRequestEnd func(Record)

	admission *admission
	node      unit.NodeID

	// mu guards the state below, which all requests share.
	mu              sync.Mutex
	endpointTracker *replica.Tracker
	allowance       *allowance.Allowance
	splitter        routing.Splitter
	portionTracker  *divide.Tracker
	coldTracker     *warming.Tracker
	coldLimits      warming.Limits
	longestWaits    map[unit.RouteName]time.Duration
	// finishLag estimates the time from the partial deadline to the end of a request that is answered in part.
	finishLag gather.Lag
	lastSweep time.Time
	// held holds the incomplete portions that may be asked for their rest, by name. lastHeld numbers them.
	held     map[string]heldPortion
	lastHeld uint64
	// open holds the callers' requests that have no answer yet.
	open map[*job]bool
	// stop is the schedule of the planned stop. stopping is closed once it is set.
	stop     shutdown.Schedule
	stopping chan struct{}
}

// New returns the dispatcher of the entry VM node in a data centre. The caller sets its function fields, Views,
// Metrics and Log.
func New(node unit.NodeID, centre unit.CentreName, limits allowance.Limits, rand func() float64) *Dispatcher {
	d := &Dispatcher{
		node:            node,
		coldTracker:     warming.New(node),
		portionTracker:  divide.New(node, rand),
		Rand:            rand,
		endpointTracker: replica.New(centre, rand),
		allowance:       allowance.New(limits),
		longestWaits:    make(map[unit.RouteName]time.Duration),
		open:            make(map[*job]bool),
		held:            make(map[string]heldPortion),
		stopping:        make(chan struct{}),
	}
	d.admission = newAdmission(func() time.Time { return d.Now() }, func() float64 { return d.Rand() })
	return d
}

// SetExtra replaces the bounds on hedges and retries when the settings are reloaded. It keeps Fresh, which describes
// the start of this VM.
func (d *Dispatcher) SetExtra(limits allowance.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits.Fresh = d.allowance.Limits.Fresh
	d.allowance.SetLimits(limits)
}

// sweepPeriod is the time between two removals of the state of endpoints that are no longer used.
const sweepPeriod = 10 * time.Second

// Serve sends a request to the endpoints of its route and returns the answer. It returns once the answer is final, or
// when ctx ends because the caller has disconnected.
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
	defer d.closeJob(j)
	if !d.admits(j) {
		return d.refuse(q, v, route, unit.CodeStopping)
	}
	turn, refusal, ok := d.admit(ctx, j)
	if !ok {
		return refusal
	}
	answer := d.serveAdmitted(ctx, j)
	d.admission.leave(turn, answer)
	return answer
}

// serveAdmitted serves a request that may run, in portions if it is divided.
func (d *Dispatcher) serveAdmitted(ctx context.Context, j *job) Answer {
	if plan := d.planPortions(j); len(plan) > 1 {
		return d.serveDivided(ctx, j, plan)
	}
	f := d.newFanout(j, j.services, j.params, nil)
	f.run(ctx)
	answer := f.answer()
	if answer.Status != 0 {
		answer.Release = f.end
	} else {
		f.end()
	}
	d.recordFinishLag(j, answer)
	d.OnRequestEnd(f.endRecord(answer))
	return answer
}

// Refuse records a request for which Serve is not called and returns the answer with that result code.
func (d *Dispatcher) Refuse(q *Request, code unit.Code) Answer {
	return d.refuse(q, d.Views.Load(), nil, code)
}

// refuse records a request that is rejected before anything is sent, and returns its answer. route is nil if
// none matched.
func (d *Dispatcher) refuse(q *Request, v *discovery.View, route *routing.Route, code unit.Code) Answer {
	var name unit.RouteName
	if route != nil {
		name = route.Name
	}
	r := refusalRecord(q, v, name, code, d.Now())
	r.stop = newStopTimes(d.schedule(), q.Arrived, time.Time{})
	d.OnRequestEnd(r)
	return Answer{Code: code, RetryAfter: d.retryAfter(code, route)}
}

// retryAfter returns when a request that was refused with code is worth sending again, 0 if that is not stated.
func (d *Dispatcher) retryAfter(code unit.Code, route *routing.Route) time.Duration {
	switch code {
	case unit.CodeNoRoute, unit.CodeBadRequest, unit.CodeTooLarge, unit.CodeHeaderTooLarge:
		// The same request would be refused again.
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var typical time.Duration
	if route != nil {
		typical = d.endpointTracker.TypicalLatency(route.Name)
	}
	return retryafter.RetryAfter(code, typical, d.Rand())
}

// job is a request with the routing state and the bounds that apply to it.
type job struct {
	view     *discovery.View
	route    *routing.Route
	request  *Request
	message  *leaf.Message
	services []unit.ServiceName
	params   gather.Params
	// target is until when an answer has its full value to the caller, the zero time if that is not known.
	target time.Time
}

// newJob selects the services of a request and computes its bounds: all shards of the route if replies are merged,
// otherwise one service, picked by weight. The request counts as open until closeJob.
func (d *Dispatcher) newJob(v *discovery.View, route *routing.Route, q *Request, m *leaf.Message) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(q.Arrived)
	j := &job{view: v, route: route, request: q, message: m, services: route.Shards}
	if !route.Gathers() {
		j.services = []unit.ServiceName{d.splitter.Pick(v.Table.Version, route)}
	}
	j.params = d.requestParams(route, q, len(j.services))
	j.target = d.targetTime(route, q)
	d.open[j] = true
	return j
}

// newFanout creates the fan-out of a job to some of its services. sentBefore marks the services that the request has
// been sent to before: their first attempt counts as an extra one. nil means that there are none.
func (d *Dispatcher) newFanout(j *job, services []unit.ServiceName, params gather.Params, sentBefore []bool) *fanout {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &fanout{job: j, dispatcher: d, services: services, sentBefore: sentBefore, memory: d.Memory.NewHold()}
	f.endpoints = make([][]directory.Endpoint, len(services))
	for i, s := range services {
		f.endpoints[i] = j.view.Endpoints[s]
		if !f.wasSentBefore(i) {
			d.allowance.RecordRequest(j.request.Arrived, s)
		}
	}
	params.Shards = len(services)
	f.machine = &gather.Machine{
		Params: params, Choose: f.chooseEndpoint, AllowExtra: f.allowExtra, RoomAt: f.roomAt, Rand: d.Rand,
	}
	return f
}

// requestParams returns the bounds of a request, and notes the longest wait that a caller of the route has stated. The
// caller holds mu.
func (d *Dispatcher) requestParams(route *routing.Route, q *Request, shards int) gather.Params {
	// The timeout that a caller states shrinks with each of its retries. The longest one seen on the route shows how
	// long ago a caller that states a shorter one began.
	d.longestWaits[route.Name] = max(d.longestWaits[route.Name], q.Remaining)
	caller := d.callerOf(route, q)
	timing := gather.Timing{
		TypicalLatency: d.endpointTracker.TypicalLatency(route.Name),
		Target:         route.TargetLatency, Timeout: route.Timeout, Remaining: q.Remaining,
	}
	params := gather.Params{
		Shards:           shards,
		MinShare:         1,
		AttemptsPerShard: route.Attempts,
		Idempotent:       route.Repeatable,
		Deadline:         timing.Deadline(q.Arrived),
		RefuseBy:         timing.RefuseBy(q.Arrived),
	}
	if route.Gathers() {
		params.MinShare = gather.RequiredShare(route.MinShare, shards)
		params.PartialDeadline = timing.PartialDeadline(caller, d.finishLag.UpperEstimate())
		timing.UntilPartial = params.PartialDeadline.Sub(q.Arrived)
	}
	params.HedgeAfter = timing.HedgeAfter()
	return params
}

// callerOf describes the caller of a request. The caller of the method holds mu.
func (d *Dispatcher) callerOf(route *routing.Route, q *Request) gather.Caller {
	return gather.Caller{
		Arrived: q.Arrived, Remaining: q.Remaining, MaxRemaining: d.longestWaits[route.Name],
		RoundTrip: q.RoundTrip, NewConnection: q.NewConnection,
	}
}

// recordFinishLag is called with each answer. It updates the estimate of the finish lag if the answer is partial and
// ended at or after its partial deadline, and does nothing otherwise.
func (d *Dispatcher) recordFinishLag(j *job, a Answer) {
	now := d.Now()
	if a.Code != unit.CodePartial || now.Before(j.params.PartialDeadline) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishLag.Record(now.Sub(j.params.PartialDeadline))
}

// sweep drops the state of endpoints that have not been used for long, once per sweepPeriod. The caller holds mu.
func (d *Dispatcher) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepPeriod {
		return
	}
	d.lastSweep = now
	d.endpointTracker.Forget(now)
	d.admission.sweep(now)
	d.coldTracker.Forget(now)
}
