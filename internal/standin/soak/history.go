package soak

import (
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/shard"
)

// Path says which route a request takes.
type Path string

// The paths. All of them are of the host of the soak's routing tables.
const (
	// PathAll gathers every shard.
	PathAll Path = "/all/"
	// PathOne goes to one service and may be repeated, and PathOnce must not be.
	PathOne  Path = "/one/"
	PathOnce Path = "/once/"
	// PathMoved goes to another service with each routing table.
	PathMoved Path = "/moved/"
)

// Request is a request as its caller sent it, and its end as the caller saw it.
type Request struct {
	ID     unit.RequestID
	Path   Path
	Method string
	Body   string
	VM     int
	// Sent is when its last byte was sent, and Left how long the caller waits.
	Sent      time.Time
	Remaining time.Duration
	// GaveUp says that the caller has left before the end.
	GaveUp bool
	// Ended is when the answer had come whole, or the connection had ended.
	Ended time.Time
	// Status is 0 when the connection ended without a whole answer, for the reason Err.
	Status        int
	Err           error
	Seal          string
	Seals         []string
	MissingShards int
	ResponseBody  string
}

// Run is a call that an endpoint has run.
type Run struct {
	shard.Run
	Endpoint unit.EndpointID
	Service  unit.ServiceName
}

// Call is a call that has come to an endpoint of a service, whether it was run or not.
type Call struct {
	shard.Arrival
	Endpoint unit.EndpointID
	Service  unit.ServiceName
}

// Table is a routing table, as far as the promises speak of it.
type Table struct {
	Version   unit.TableVersion
	Published time.Time
	Shards    []unit.ServiceName
	// MovedService is the service of PathMoved.
	MovedService unit.ServiceName
}

// Span is a time during which something holds; a zero To is the end of the run.
type Span struct {
	From time.Time
	To   time.Time
}

// overlaps says whether the span has a part between two times.
func (s Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// Lifetime is one process of an entry VM.
type Lifetime struct {
	VM      int
	Started time.Time
	// StopRequested is when it was asked for a planned stop, and Killed when it was killed; zero is never.
	StopRequested time.Time
	Killed        time.Time
	Ended         time.Time
	ExitCode      int
	Log           string
}

// LeavingPeriod is that an endpoint's registration says that it is leaving, or has gone.
type LeavingPeriod struct {
	Endpoint unit.EndpointID
	Span
}

// Bounds are the bounds that the promises name.
type Bounds struct {
	// TopK is how many records a merged answer holds, and Least the share of the shards that it needs.
	TopK     int
	MinShare unit.Share
	// Timeout is the route's timeout.
	Timeout time.Duration
	// ApplyTime is the time within which a table is in force, and Drain the one after which a leaving endpoint gets nothing.
	ApplyTime time.Duration
	DrainTime time.Duration
	// CalmTime is for how long nothing must have disturbed a VM for these bounds to hold.
	CalmTime time.Duration
	// Ratio, Slack and Window bound the calls beyond the first.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
}

// History is all that was seen of a run.
type History struct {
	Bounds Bounds
	// Records gives the body of each service's endpoints.
	Records map[unit.ServiceName]string
	// Services gives the service of each endpoint.
	Services map[unit.EndpointID]unit.ServiceName

	mu        sync.Mutex
	Requests  []Request
	Runs      []Run
	Calls     []Call
	Tables    []Table
	Lifetimes []Lifetime
	Leaving   []LeavingPeriod
	// VMFaults are the times at which a fault was at one VM, and Troubled those at which one was at all of them: at the
	// registry, or a stall of the machine that the soak runs on.
	VMFaults     map[int][]Span
	GlobalFaults []Span
	// EndpointFaults are the times at which an endpoint or its connections misbehaved.
	EndpointFaults []Span
}

// update changes the history; several goroutines may call it.
func (h *History) update(change func(h *History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

// isCalm says whether nothing has disturbed a VM from the calm time before from until to.
func (h *History) isCalm(vm int, from, to time.Time) bool {
	return h.isCalmExcept(vm, from, to, func(Span) bool { return false })
}

// isCalmExcept says the same of all disturbances of the VM but the excused ones.
func (h *History) isCalmExcept(vm int, from, to time.Time, excused func(s Span) bool) bool {
	from = from.Add(-h.Bounds.CalmTime)
	hit := func(s Span) bool { return s.overlaps(from, to) }
	disturbs := func(s Span) bool { return hit(s) && !excused(s) }
	return !slices.ContainsFunc(h.VMFaults[vm], disturbs) && !slices.ContainsFunc(h.GlobalFaults, hit)
}

// endpointsHealthy says whether no endpoint misbehaved between two times.
func (h *History) endpointsHealthy(from, to time.Time) bool {
	return !slices.ContainsFunc(h.EndpointFaults, func(s Span) bool { return s.overlaps(from, to) })
}

// lifetimeAt gives the process of a VM that ran at a time, or nil.
func (h *History) lifetimeAt(vm int, at time.Time) *Lifetime {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		if l.VM == vm && !l.Started.After(at) && (l.Ended.IsZero() || l.Ended.After(at)) {
			return l
		}
	}
	return nil
}
