// Package replica keeps what an entry VM's own requests and the endpoints' load reports say of each endpoint, and
// chooses the endpoint of a service that is expected to answer first.
package replica

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

const (
	// stallLatencyRatio is how many times the usual latency a request may be open before its endpoint counts as stalled.
	stallLatencyRatio = 3.0
	// minStallAge is the least age at which a request counts as stalled; scheduling delays stay below it.
	minStallAge = 12 * time.Millisecond
	// endpointSampleWeight is the weight of a new latency in an endpoint's mean.
	endpointSampleWeight = 0.25
	// routeSampleWeight is the weight of a new latency in a route's mean, which many endpoints feed.
	routeSampleWeight = 0.02
	// routeSampleCap is the ratio to the mean at which a latency is cut before it enters the route's mean, so that
	// stragglers do not raise it.
	routeSampleCap = 3.0
	// endpointSampleCap is the ratio at which a latency is cut before it enters an endpoint's mean. A single pause then does not send
	// requests to another data centre, and a few slow replies in a row do.
	endpointSampleCap = 3.0
	// slownessHalfLife is the time in which a slow endpoint's mean without new samples moves half the way back to usual, so
	// that it is tried again.
	slownessHalfLife = 1500 * time.Millisecond
	// initialDemotion is how long an endpoint is set aside after a failure; each further one in a row doubles it up to
	// failMax, which bounds how long a recovered endpoint goes unused.
	initialDemotion = 150 * time.Millisecond
	maxDemotion     = 2400 * time.Millisecond
	// reportHalfLife is the time in which a load report without a newer one loses half of its weight.
	reportHalfLife = 50 * time.Millisecond
	// remoteCostFactor is what an endpoint of another data centre costs more: the way there and the bytes between centres.
	remoteCostFactor = 1.6
	// coldCostFactor is what an endpoint costs more that has just started and is still slow.
	coldCostFactor = 1.6
	// costJitter is the share of the cost that is drawn at random, so that the VMs do not all choose alike.
	costJitter = 0.1
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
	open     []time.Time
	lastUsed time.Time
	// latencyRatio is the mean latency in relation to the usual one; 0 means that there is no sample.
	latencyRatio   float64
	lastSample     time.Time
	load           Load
	loadReportedAt time.Time
	// failures counts the failures in a row, and until is the end of the time for which they set the endpoint aside.
	failures     int
	demotedUntil time.Time
	// misdirected is set when another endpoint was found at the address of the registration with revision lostAt.
	misdirected         bool
	misdirectedRevision unit.Revision
}

// Tracker holds the state of all endpoints. It is not safe for use by several goroutines.
type Tracker struct {
	// Centre is the data centre of the entry VM.
	Centre unit.CentreName
	// Rand gives a number from 0 to 1.
	Rand func() float64

	states         map[unit.EndpointID]*state
	typicalLatency map[unit.RouteName]time.Duration
}

// New makes a tracker that knows nothing.
func New(centre unit.CentreName, rand func() float64) *Tracker {
	return &Tracker{
		Centre:         centre,
		Rand:           rand,
		states:         make(map[unit.EndpointID]*state),
		typicalLatency: make(map[unit.RouteName]time.Duration),
	}
}

// RecordSent takes the start of a request.
func (t *Tracker) RecordSent(now time.Time, id unit.EndpointID) {
	s := t.state(id)
	s.open = append(s.open, now)
	s.lastUsed = now
}

// RecordReply takes a whole reply to a request that was sent at that time.
func (t *Tracker) RecordReply(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	s.failures = 0
	s.demotedUntil = time.Time{}
	t.addSample(now, s, route, now.Sub(sent))
}

// RecordFailure takes the failure of a request: the endpoint is set aside for a while. It gives how many failures in a row there
// are and for how long they set it aside.
func (t *Tracker) RecordFailure(now time.Time, id unit.EndpointID, sent time.Time) (failures int, demotion time.Duration) {
	s := t.state(id)
	s.closeRequest(sent)
	s.failures++
	demotion = demotionTime(s.failures)
	s.demotedUntil = now.Add(demotion)
	return s.failures, demotion
}

// RecordMisdirected takes that another endpoint has the address that was registered at that revision: whatever is sent there
// arrives at a service that it is not meant for, so the endpoint is not asked again until it registers anew.
func (t *Tracker) RecordMisdirected(now time.Time, id unit.EndpointID, registered unit.Revision, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	s.lastUsed = now
	s.misdirected, s.misdirectedRevision = true, registered
}

// RecordRejection takes that an endpoint was full; its load report says the rest.
func (t *Tracker) RecordRejection(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	t.addSample(now, s, route, time.Duration(routeSampleCap*float64(t.typicalLatency[route])))
}

// RecordAbandoned takes that a request was given up without an end that could be laid to the endpoint.
func (t *Tracker) RecordAbandoned(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	took := now.Sub(sent)
	if took > t.typicalLatency[route] {
		t.addSample(now, s, route, took)
	}
}

// RecordLoad takes an endpoint's report of its load.
func (t *Tracker) RecordLoad(now time.Time, id unit.EndpointID, load Load) {
	s := t.state(id)
	s.load = load
	s.loadReportedAt = now
}

// TypicalLatency gives the usual latency of a route's requests at one endpoint, 0 while it is not known.
func (t *Tracker) TypicalLatency(route unit.RouteName) time.Duration {
	return t.typicalLatency[route]
}

// Forget drops the endpoints that have not been used for long.
func (t *Tracker) Forget(now time.Time) {
	for id, s := range t.states {
		if len(s.open) == 0 && now.Sub(s.lastUsed) > forgetAfter {
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

// addSample takes a latency into the means of the endpoint and of the route.
func (t *Tracker) addSample(now time.Time, s *state, route unit.RouteName, took time.Duration) {
	typical := t.typicalLatency[route]
	if typical == 0 {
		t.typicalLatency[route] = took
		typical = took
	} else {
		capped := min(float64(took), routeSampleCap*float64(typical))
		t.typicalLatency[route] = typical + time.Duration(routeSampleWeight*(capped-float64(typical)))
	}
	ratio := min(endpointSampleCap, float64(took)/float64(max(typical, time.Microsecond)))
	s.lastSample = now
	if s.latencyRatio == 0 {
		s.latencyRatio = ratio
		return
	}
	s.latencyRatio += endpointSampleWeight * (ratio - s.latencyRatio)
}

// closeRequest removes the request that was sent at that time.
func (s *state) closeRequest(sent time.Time) {
	for i, at := range s.open {
		if at.Equal(sent) {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// demotionTime gives how long n failures in a row set an endpoint aside.
func demotionTime(n int) time.Duration {
	d := initialDemotion
	for i := 1; i < n && d < maxDemotion; i++ {
		d *= 2
	}
	return min(d, maxDemotion)
}

// isRemote says whether the endpoint is in another data centre than the entry VM.
func (t *Tracker) isRemote(e directory.Endpoint) bool {
	return e.Centre != t.Centre
}
