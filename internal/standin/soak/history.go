package soak

import (
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/shard"
)

// Path is the path prefix of a request. It selects the route.
type Path string

// The paths. All routes are for the host hostName.
const (
	// PathAll is a scatter-gather route over all shards.
	PathAll Path = "/all/"
	// PathOne and PathOnce are routes to one service. Requests on PathOne are idempotent; requests on PathOnce must not
	// be retried once they may have run.
	PathOne  Path = "/one/"
	PathOnce Path = "/once/"
	// PathMoved is a route to a service that changes with each routing table.
	PathMoved Path = "/moved/"
)

// Request is a request as its caller sent it, with its result as the caller saw it.
type Request struct {
	ID     unit.RequestID
	Path   Path
	Method string
	Body   string
	VM     int
	// Sent is when the last byte was sent. Remaining is how long the caller waits from then on.
	Sent      time.Time
	Remaining time.Duration
	// GaveUp is set if the caller chose to disconnect early.
	GaveUp bool
	// Ended is when the whole response had been read, or the connection had ended.
	Ended time.Time
	// Status is 0 if the connection ended without a complete response; Err is the reason.
	Status int
	Err    error
	// Seal is the response's signature by the endpoint, and Seals are those of the shards in a merged response.
	Seal          string
	Seals         []string
	MissingShards int
	ResponseBody  string
}

// Run is one execution of a request at an endpoint.
type Run struct {
	shard.Run
	Endpoint unit.EndpointID
	Service  unit.ServiceName
}

// Call is the arrival of a request at an endpoint of a service, whether the endpoint then ran it or not.
type Call struct {
	shard.Arrival
	Endpoint unit.EndpointID
	Service  unit.ServiceName
}

// Table holds the fields of a published routing table that the checks need.
type Table struct {
	Version   unit.TableVersion
	Published time.Time
	Shards    []unit.ServiceName
	// MovedService is the service that PathMoved is routed to.
	MovedService unit.ServiceName
}

// Span is a period of time. If To is zero, it lasts until the end of the run.
type Span struct {
	From time.Time
	To   time.Time
}

// overlaps reports whether part of the span lies between from and to.
func (s Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// Lifetime is one process of an entry VM, from its start to its end.
type Lifetime struct {
	VM      int
	Started time.Time
	// StopRequested is when the process was told to stop as planned, and Killed when it was killed. Both are zero if
	// that did not happen.
	StopRequested time.Time
	Killed        time.Time
	Ended         time.Time
	ExitCode      int
	Log           string
}

// LeavingPeriod is a period in which an endpoint's registration is in the draining state or is missing.
type LeavingPeriod struct {
	Endpoint unit.EndpointID
	Span
}

// Bounds are the bounds that the checks hold the entry VMs to.
type Bounds struct {
	// TopK is the number of records in a merged response, and MinShare the minimum share of shards that it must cover.
	TopK     int
	MinShare unit.Share
	// Timeout is the timeout of every route.
	Timeout time.Duration
	// ApplyTime is the time within which a published table must be in force. DrainTime is the time after which a
	// leaving endpoint must not get new requests.
	ApplyTime time.Duration
	DrainTime time.Duration
	// CalmTime is how long there must have been no fault of the VM and no global fault for these times to apply.
	CalmTime time.Duration
	// Ratio, Slack and Window bound the extra calls: at most Ratio of the requests in a Window, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Grace is the maximum duration of a planned stop.
	Grace time.Duration
}

// History is everything that callers, endpoints and the test itself observed during a run.
type History struct {
	Bounds Bounds
	// Records is the response body of each service's endpoints.
	Records map[unit.ServiceName]string
	// Services is the service of each endpoint.
	Services map[unit.EndpointID]unit.ServiceName

	mu        sync.Mutex
	Requests  []Request
	Runs      []Run
	Calls     []Call
	Tables    []Table
	Lifetimes []Lifetime
	Leaving   []LeavingPeriod
	// Announced are the periods in which endpoints say only in their replies that they are leaving.
	Announced []LeavingPeriod
	// Evacuated are the periods in which the data centre of an endpoint is evacuated.
	Evacuated []LeavingPeriod
	// VMFaults are the periods with a fault at one VM. GlobalFaults are those with a fault that affects all VMs: at the
	// registry, or a scheduling stall of the machine that runs the soak.
	VMFaults     map[int][]Span
	GlobalFaults []Span
	// EndpointFaults are the periods with a fault of the connections to an endpoint, and Stalls those of GlobalFaults
	// that are scheduling stalls.
	EndpointFaults map[unit.EndpointID][]Span
	Stalls         []Span
}

// update calls change with the history locked. Safe for concurrent use.
func (h *History) update(change func(h *History)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

// isCalm reports whether there was no fault of the VM and no global fault from CalmTime before from until to.
func (h *History) isCalm(vm int, from, to time.Time) bool {
	return h.isCalmExcept(vm, from, to, func(Span) bool { return false })
}

// isCalmExcept is like isCalm but ignores those faults of the VM for which excused returns true.
func (h *History) isCalmExcept(vm int, from, to time.Time, excused func(s Span) bool) bool {
	from = from.Add(-h.Bounds.CalmTime)
	hit := func(s Span) bool { return s.overlaps(from, to) }
	disturbs := func(s Span) bool { return hit(s) && !excused(s) }
	return !slices.ContainsFunc(h.VMFaults[vm], disturbs) && !slices.ContainsFunc(h.GlobalFaults, hit)
}

// reaches reports whether nothing kept what an endpoint said from a VM, or the VM from acting on it, between two times:
// no fault of the VM, of the endpoint's connections or of the machine that runs the soak. Faults of the registry don't
// count.
func (h *History) reaches(vm int, id unit.EndpointID, from, to time.Time) bool {
	hit := func(s Span) bool { return s.overlaps(from, to) }
	return !slices.ContainsFunc(h.VMFaults[vm], hit) && !slices.ContainsFunc(h.EndpointFaults[id], hit) &&
		!slices.ContainsFunc(h.Stalls, hit)
}

// lifetimeAt returns the process of a VM that was running at a time, or nil if there was none.
func (h *History) lifetimeAt(vm int, at time.Time) *Lifetime {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		if l.VM == vm && !l.Started.After(at) && (l.Ended.IsZero() || l.Ended.After(at)) {
			return l
		}
	}
	return nil
}
