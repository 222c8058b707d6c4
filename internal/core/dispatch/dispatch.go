package dispatch

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/outlook"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/policy/directory"
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
	// Send starts a call.
	Send func(now time.Time, call leaf.Call, done func(leaf.End)) *leaf.Flight
	// Prepare encodes what the calls of a request have in common.
	Prepare func(
		id unit.RequestID, method, uri, host string, fields []leaf.Field, body []byte,
	) (*leaf.Message, error)
	// Ended is told of each request's end.
	Ended func(Record)

	// mu guards what all requests share.
	mu        sync.Mutex
	tracker   *replica.Tracker
	allowance *allowance.Allowance
	splitter  routing.Splitter
	waits     map[unit.RouteName]time.Duration
	swept     time.Time
}

// New makes a dispatcher of an entry VM in that data centre.
func New(centre unit.CentreName, terms allowance.Terms, rand func() float64) *Dispatcher {
	return &Dispatcher{
		Rand:      rand,
		tracker:   replica.New(centre, rand),
		allowance: allowance.New(terms),
		waits:     make(map[unit.RouteName]time.Duration),
	}
}

// sweepPeriod is the time between two sweeps of endpoints that are no longer used.
const sweepPeriod = 10 * time.Second

// Serve answers a request. It returns once the answer is final or ctx ends because the caller has left.
func (d *Dispatcher) Serve(ctx context.Context, q *Request) Answer {
	v := d.Views.Load()
	if !v.Complete() {
		return d.refuse(q, v, nil, unit.CodeNoConfig)
	}
	route := v.Table.Match(q.Host, q.Path)
	if route == nil {
		return d.refuse(q, v, nil, unit.CodeNoRoute)
	}
	f, code := d.newFanout(v, route, q)
	if code != 0 {
		return d.refuse(q, v, route, code)
	}
	f.run(ctx)
	answer := f.answer()
	d.Ended(f.record(answer))
	return answer
}

// refuse answers a request of which nothing was sent.
func (d *Dispatcher) refuse(q *Request, v *outlook.View, route *routing.Route, code unit.Code) Answer {
	var name unit.RouteName
	if route != nil {
		name = route.Name
	}
	d.Ended(refused(q, v, name, code, d.Now()))
	return Answer{Code: code, ComeBack: d.comeBack(code, route)}
}

func (d *Dispatcher) comeBack(code unit.Code, route *routing.Route) time.Duration {
	if code == unit.CodeNoRoute || code == unit.CodeBadRequest {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var usual time.Duration
	if route != nil {
		usual = d.tracker.Usual(route.Name)
	}
	return refusal.ComeBack(code, usual, d.Rand())
}

// newFanout makes the run of a request; a code other than 0 says why there is none.
func (d *Dispatcher) newFanout(v *outlook.View, route *routing.Route, q *Request) (*fanout, unit.Code) {
	message, err := d.Prepare(q.ID, q.Method, q.URI, string(q.Host), q.Fields, q.Body)
	if err != nil {
		return nil, unit.CodeBadRequest
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(q.Arrived)
	services := route.Shards
	if !route.Gathers() {
		services = []unit.ServiceName{d.splitter.Pick(v.Table.Version, route)}
	}
	f := &fanout{dispatcher: d, view: v, route: route, request: q, message: message, services: services}
	f.endpoints = make([][]directory.Endpoint, len(services))
	for i, s := range services {
		f.endpoints[i] = v.Endpoints[s]
		d.allowance.Asked(q.Arrived, s)
	}
	f.machine = &gather.Machine{Terms: d.terms(route, q, len(services)), Choose: f.choose, Spend: f.spend}
	return f, 0
}

// terms gives the bounds of a request.
func (d *Dispatcher) terms(route *routing.Route, q *Request, shards int) gather.Terms {
	// The longest wait that the route's callers have stated tells how long ago a caller that states less began.
	d.waits[route.Name] = max(d.waits[route.Name], q.Left)
	began := gather.Began(q.Arrived, q.Left, d.waits[route.Name])
	pace := gather.Pace{Usual: d.tracker.Usual(route.Name), Target: route.Target, Timeout: route.Timeout, Left: q.Left}
	t := gather.Terms{
		Shards:     shards,
		Attempts:   route.Attempts,
		Repeatable: route.Repeatable,
		HedgeAfter: pace.HedgeAfter(),
		End:        pace.End(q.Arrived),
	}
	if route.Gathers() {
		t.Least = route.Least
		t.Cut = pace.Cut(q.Arrived, began)
	}
	return t
}

func (d *Dispatcher) sweep(now time.Time) {
	if now.Sub(d.swept) < sweepPeriod {
		return
	}
	d.swept = now
	d.tracker.Forget(now)
}
