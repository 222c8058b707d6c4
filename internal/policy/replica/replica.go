// Package replica keeps what an entry VM's own requests and the endpoints' load reports say of each endpoint, and
// chooses the endpoint of a service that is expected to answer first.
package replica

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

const (
	// stallRatio is how many times the usual latency a request may be open before its endpoint counts as stalled.
	stallRatio = 3.0
	// stallLeast is the least age at which a request counts as stalled; scheduling delays stay below it.
	stallLeast = 12 * time.Millisecond
	// slowWeight is the weight of a new latency in an endpoint's mean.
	slowWeight = 0.25
	// usualWeight is the weight of a new latency in a route's mean, which many endpoints feed.
	usualWeight = 0.02
	// usualCap is the ratio to the mean at which a latency is cut before it enters the route's mean, so that
	// stragglers do not raise it.
	usualCap = 3.0
	// slowCap is the ratio at which a latency is cut before it enters an endpoint's mean. A single pause then does not send
	// requests to another data centre, and a few slow replies in a row do.
	slowCap = 3.0
	// fadeHalf is the time in which a slow endpoint's mean without new samples moves half the way back to usual, so
	// that it is tried again.
	fadeHalf = 1500 * time.Millisecond
	// failFirst is how long an endpoint is set aside after a failure; each further one in a row doubles it up to
	// failMax, which bounds how long a recovered endpoint goes unused.
	failFirst = 150 * time.Millisecond
	failMax   = 2400 * time.Millisecond
	// reportHalf is the time in which a load report without a newer one loses half of its weight.
	reportHalf = 50 * time.Millisecond
	// farFactor is what an endpoint of another data centre costs more: the way there and the bytes between centres.
	farFactor = 1.6
	// coldFactor is what an endpoint costs more that has just started and is still slow.
	coldFactor = 1.6
	// spread is the share of the cost that is drawn at random, so that the VMs do not all choose alike.
	spread = 0.1
	// forgetAfter is how long an endpoint that gets no requests is remembered.
	forgetAfter = 30 * time.Second
)

// Load is an endpoint's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   unit.Slots
}

// state is what is known of one endpoint.
type state struct {
	// open are the start times of the requests under way, the oldest first.
	open []time.Time
	used time.Time
	// slow is the mean latency in relation to the usual one; 0 means that there is no sample.
	slow    float64
	sampled time.Time
	load    Load
	loadAt  time.Time
	// fails counts the failures in a row, and until is the end of the time for which they set the endpoint aside.
	fails int
	until time.Time
	// lost is set when another endpoint was found at the address of the registration with revision lostAt.
	lost   bool
	lostAt unit.Revision
}

// Tracker holds the state of all endpoints. It is not safe for use by several goroutines.
type Tracker struct {
	// Centre is the data centre of the entry VM.
	Centre unit.CentreName
	// Rand gives a number from 0 to 1.
	Rand func() float64

	states map[unit.EndpointID]*state
	usual  map[unit.RouteName]time.Duration
}

// New makes a tracker that knows nothing.
func New(centre unit.CentreName, rand func() float64) *Tracker {
	return &Tracker{
		Centre: centre,
		Rand:   rand,
		states: make(map[unit.EndpointID]*state),
		usual:  make(map[unit.RouteName]time.Duration),
	}
}

// Sent takes the start of a request.
func (t *Tracker) Sent(now time.Time, id unit.EndpointID) {
	s := t.state(id)
	s.open = append(s.open, now)
	s.used = now
}

// Answered takes a whole reply to a request that was sent at that time.
func (t *Tracker) Answered(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.close(sent)
	s.fails = 0
	s.until = time.Time{}
	t.sample(now, s, route, now.Sub(sent))
}

// Failed takes the failure of a request: the endpoint is set aside for a while. It gives how many failures in a row there
// are and for how long they set it aside.
func (t *Tracker) Failed(now time.Time, id unit.EndpointID, sent time.Time) (fails int, aside time.Duration) {
	s := t.state(id)
	s.close(sent)
	s.fails++
	aside = setAside(s.fails)
	s.until = now.Add(aside)
	return s.fails, aside
}

// Misdirected takes that another endpoint has the address that was registered at that revision: whatever is sent there
// arrives at a service that it is not meant for, so the endpoint is not asked again until it registers anew.
func (t *Tracker) Misdirected(now time.Time, id unit.EndpointID, registered unit.Revision, sent time.Time) {
	s := t.state(id)
	s.close(sent)
	s.used = now
	s.lost, s.lostAt = true, registered
}

// Rejected takes that an endpoint was full; its load report says the rest.
func (t *Tracker) Rejected(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.close(sent)
	t.sample(now, s, route, time.Duration(usualCap*float64(t.usual[route])))
}

// Abandoned takes that a request was given up without an end that could be laid to the endpoint.
func (t *Tracker) Abandoned(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.close(sent)
	took := now.Sub(sent)
	if took > t.usual[route] {
		t.sample(now, s, route, took)
	}
}

// Reported takes an endpoint's report of its load.
func (t *Tracker) Reported(now time.Time, id unit.EndpointID, load Load) {
	s := t.state(id)
	s.load = load
	s.loadAt = now
}

// Usual gives the usual latency of a route's requests at one endpoint, 0 while it is not known.
func (t *Tracker) Usual(route unit.RouteName) time.Duration {
	return t.usual[route]
}

// Forget drops the endpoints that have not been used for long.
func (t *Tracker) Forget(now time.Time) {
	for id, s := range t.states {
		if len(s.open) == 0 && now.Sub(s.used) > forgetAfter {
			delete(t.states, id)
		}
	}
}

func (t *Tracker) state(id unit.EndpointID) *state {
	s := t.states[id]
	if s == nil {
		s = &state{}
		t.states[id] = s
	}
	return s
}

// sample takes a latency into the means of the endpoint and of the route.
func (t *Tracker) sample(now time.Time, s *state, route unit.RouteName, took time.Duration) {
	usual := t.usual[route]
	if usual == 0 {
		t.usual[route] = took
		usual = took
	} else {
		capped := min(float64(took), usualCap*float64(usual))
		t.usual[route] = usual + time.Duration(usualWeight*(capped-float64(usual)))
	}
	ratio := min(slowCap, float64(took)/float64(max(usual, time.Microsecond)))
	s.sampled = now
	if s.slow == 0 {
		s.slow = ratio
		return
	}
	s.slow += slowWeight * (ratio - s.slow)
}

// close removes the request that was sent at that time.
func (s *state) close(sent time.Time) {
	for i, at := range s.open {
		if at.Equal(sent) {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// setAside gives how long n failures in a row set an endpoint aside.
func setAside(n int) time.Duration {
	d := failFirst
	for i := 1; i < n && d < failMax; i++ {
		d *= 2
	}
	return min(d, failMax)
}

// isFar says whether the endpoint is in another data centre than the entry VM.
func (t *Tracker) isFar(e directory.Endpoint) bool {
	return e.Centre != t.Centre
}
