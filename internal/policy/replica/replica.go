// Package replica tracks the state of each endpoint from an entry VM's own requests and the endpoints' load reports,
// and chooses the endpoint of a service that is expected to answer first.
package replica

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

const (
	// stallLatencyRatio is how many times the typical latency a request may be open before its endpoint counts as
	// stalled.
	stallLatencyRatio = 3.0
	// minStallAge is the minimum age at which a request counts as stalled. Scheduling delays stay below it.
	minStallAge = 12 * time.Millisecond
	// endpointSampleWeight is the weight of a new latency in an endpoint's moving average.
	endpointSampleWeight = 0.25
	// routeSampleWeight is the weight of a new latency in a route's moving average, to which many endpoints
	// contribute.
	routeSampleWeight = 0.02
	// routeSampleCap caps a latency, as a ratio to the route's average, before it is added to that average, so that
	// stragglers don't raise it.
	routeSampleCap = 3.0
	// endpointSampleCap caps the ratio of a latency to the route's average before it is added to an endpoint's
	// average. With it, a single pause does not send requests to another data centre, and a few slow replies in a row
	// do.
	endpointSampleCap = 3.0
	// slownessHalfLife is the time in which the average of a slow endpoint without new samples decays half the way to
	// the typical latency, so that the endpoint is tried again.
	slownessHalfLife = 1500 * time.Millisecond
	// initialDemotion is how long an endpoint is chosen last after a failure. The time doubles with each further
	// failure in a row, up to maxDemotion, which bounds how long a recovered endpoint stays unused.
	initialDemotion = 150 * time.Millisecond
	maxDemotion     = 2400 * time.Millisecond
	// reportHalfLife is the time in which a load report loses half of its weight unless a newer one arrives.
	reportHalfLife = 50 * time.Millisecond
	// slownessReportHalfLife is the time in which an endpoint's own report of its slowness loses half of its weight.
	slownessReportHalfLife = 1500 * time.Millisecond
	// slowFrom is the reported slowness from which an endpoint counts as slow in logs and counters, until it reports at
	// most usualSlowness.
	slowFrom = 3.0
	// usualSlowness is the reported slowness up to which work takes as long as usual. Such reports change within
	// milliseconds and say nothing of the next request.
	usualSlowness = 1.5
	// remoteCostFactor is the cost of an endpoint in another data centre relative to a local one: the longer path and
	// the traffic between the data centres.
	remoteCostFactor = 1.6
	// coldCostFactor is the cost of an endpoint that has just started, and is still slow, relative to a warm one.
	coldCostFactor = 1.6
	// costJitter is the largest share by which a cost is increased at random, so that the VMs don't all choose the
	// same endpoint.
	costJitter = 0.1
	// forgetAfter is how long the state of an unused endpoint is kept.
	forgetAfter = 30 * time.Second
)

// Load is an endpoint's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   unit.Slots
	// Slowness is how long work takes at the endpoint now, relative to its usual time; 0 means that it is not reported.
	Slowness float64
}

// state is the state of one endpoint.
type state struct {
	// open holds the start times of the open requests, the oldest first.
	open     []time.Time
	lastUsed time.Time
	// latencyRatio is the moving average of the endpoint's latency relative to the typical one; 0 means that there is
	// no sample.
	latencyRatio   float64
	lastSample     time.Time
	load           Load
	loadReportedAt time.Time
	// slow is set while the endpoint's reports say that it is slow.
	slow bool
	// loadInvalid is set once a load report was malformed.
	loadInvalid bool
	// rejectedAt is when the endpoint last rejected a request because it was full.
	rejectedAt time.Time
	// queueLimit is how many requests were waiting at the endpoint then by its own report; 0 means unknown.
	queueLimit int
	// returnSpread is a random number from 0 to 1 that spreads the requests of all VMs that wait for room.
	returnSpread float64
	// failures counts the failures in a row; because of them, the endpoint is demoted until demotedUntil.
	failures     int
	demotedUntil time.Time
	// misdirected is set when another endpoint was found at the address of the registration at misdirectedPosition.
	misdirected         bool
	misdirectedPosition unit.Position
	backoff             backoff
	departure           departure
}

// Tracker holds the state of all endpoints. It is not safe for concurrent use.
type Tracker struct {
	// Centre is the data centre of the entry VM.
	Centre unit.CentreName
	// Rand returns a random number from 0 to 1.
	Rand func() float64

	states         map[unit.EndpointID]*state
	typicalLatency map[unit.RouteName]time.Duration
	// lastResort is for how long a leaving endpoint is used if there is no other.
	lastResort time.Duration
}

// New returns a tracker without any records for an entry VM of the data centre.
func New(centre unit.CentreName, rand func() float64) *Tracker {
	t := &Tracker{
		Centre:         centre,
		Rand:           rand,
		states:         make(map[unit.EndpointID]*state),
		typicalLatency: make(map[unit.RouteName]time.Duration),
	}
	t.SetDrain(0)
	return t
}

// RecordSent records that a request has been sent to an endpoint at now. The same time must be passed as sent to the
// method that records its end.
func (t *Tracker) RecordSent(now time.Time, id unit.EndpointID) {
	s := t.state(id)
	s.open = append(s.open, now)
	s.lastUsed = now
}

// RecordReply records the complete reply to the open request that was sent at sent, and ends a demotion of the
// endpoint. The time identifies the request, as it does in the other methods that take it.
func (t *Tracker) RecordReply(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	s.failures = 0
	s.demotedUntil = time.Time{}
	t.addSample(now, s, route, now.Sub(sent))
}

// RecordFailure records that a request has failed, and demotes the endpoint for a while: it is chosen only if there
// is no other. It returns the number of failures in a row and the time for which they demote the endpoint.
func (t *Tracker) RecordFailure(
	now time.Time, id unit.EndpointID, sent time.Time,
) (failures int, demotion time.Duration) {
	s := t.state(id)
	s.closeRequest(sent)
	s.failures++
	demotion = demotionTime(s.failures)
	s.demotedUntil = now.Add(demotion)
	return s.failures, demotion
}

// RecordMisdirected records that another endpoint has the address that was registered at this position. Requests sent
// there would reach the wrong service, so the endpoint is not chosen until it registers again.
func (t *Tracker) RecordMisdirected(now time.Time, id unit.EndpointID, registered unit.Position, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	s.lastUsed = now
	s.misdirected, s.misdirectedPosition = true, registered
}

// RecordRejection records that an endpoint was full and rejected a request. It counts as a latency of routeSampleCap
// times the typical one; the endpoint's load report supplies the rest.
func (t *Tracker) RecordRejection(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	s.rejectedAt = now
	s.queueLimit = 0
	if s.loadReportedAt.Equal(now) {
		s.queueLimit = s.load.Waiting
	}
	s.returnSpread = t.Rand()
	t.addSample(now, s, route, time.Duration(routeSampleCap*float64(t.typicalLatency[route])))
}

// RecordAbandoned records that a request was abandoned for no fault of the endpoint. Its age counts as a latency only
// if it is above the typical one.
func (t *Tracker) RecordAbandoned(now time.Time, id unit.EndpointID, route unit.RouteName, sent time.Time) {
	s := t.state(id)
	s.closeRequest(sent)
	took := now.Sub(sent)
	if took > t.typicalLatency[route] {
		t.addSample(now, s, route, took)
	}
}

// RecordLoad records an endpoint's load report, which came with a reply and replaces the previous one. It must be
// recorded before the reply itself. slowed reports whether the endpoint has become slow by what it says of itself.
func (t *Tracker) RecordLoad(now time.Time, id unit.EndpointID, load Load) (slowed bool) {
	s := t.state(id)
	s.load = load
	s.loadReportedAt = now
	switch {
	case !s.slow && load.Slowness >= slowFrom:
		s.slow = true
		return true
	case load.Slowness <= usualSlowness:
		s.slow = false
	}
	return false
}

// RecordInvalidLoad records that an endpoint's load report was malformed. first reports whether it was the first one of
// this endpoint.
func (t *Tracker) RecordInvalidLoad(id unit.EndpointID) (first bool) {
	s := t.state(id)
	first = !s.loadInvalid
	s.loadInvalid = true
	return first
}

// TypicalLatency returns the moving average of the latencies of a route's requests to one endpoint, 0 while there are
// none.
func (t *Tracker) TypicalLatency(route unit.RouteName) time.Duration {
	return t.typicalLatency[route]
}

// Forget removes the endpoints that have no open requests, have not been used for forgetAfter, and neither are in a backoff
// nor have said that they are leaving. It is called periodically.
func (t *Tracker) Forget(now time.Time) {
	for id, s := range t.states {
		expired := !now.Before(s.backoff.until) && !now.Before(s.departure.since.Add(departureMemory))
		if len(s.open) == 0 && now.Sub(s.lastUsed) > forgetAfter && expired {
			delete(t.states, id)
		}
	}
}

// state returns the state of an endpoint, which it creates if there is none.
func (t *Tracker) state(id unit.EndpointID) *state {
	s := t.states[id]
	if s == nil {
		s = &state{}
		t.states[id] = s
	}
	return s
}

// addSample adds a latency to the moving averages of the endpoint and of the route.
func (t *Tracker) addSample(now time.Time, s *state, route unit.RouteName, took time.Duration) {
	typical := t.typicalLatency[route]
	if typical == 0 {
		t.typicalLatency[route] = took
		typical = took
	} else {
		capped := min(float64(took), routeSampleCap*float64(typical))
		t.typicalLatency[route] = typical + time.Duration(routeSampleWeight*(capped-float64(typical)))
	}
	ratio := float64(took) / float64(max(typical, time.Microsecond))
	if s.load.Slowness > usualSlowness && s.loadReportedAt.Equal(now) {
		// evaluate counts what the endpoint reports of itself.
		ratio = max(min(1, ratio), ratio/s.load.Slowness)
	}
	ratio = min(endpointSampleCap, ratio)
	s.lastSample = now
	if s.latencyRatio == 0 {
		s.latencyRatio = ratio
		return
	}
	s.latencyRatio += endpointSampleWeight * (ratio - s.latencyRatio)
}

// closeRequest removes the open request that was sent at that time. It does nothing if there is none.
func (s *state) closeRequest(sent time.Time) {
	for i, at := range s.open {
		if at.Equal(sent) {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// demotionTime returns for how long the last of n failures in a row demotes an endpoint.
func demotionTime(n int) time.Duration {
	d := initialDemotion
	for i := 1; i < n && d < maxDemotion; i++ {
		d *= 2
	}
	return min(d, maxDemotion)
}

// isRemote reports whether the endpoint is in another data centre than the entry VM.
func (t *Tracker) isRemote(e directory.Endpoint) bool {
	return e.Centre != t.Centre
}
