package replica

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// The statuses of endpoints: without a known problem, with a request open for too long, missing from the registry or with
// a contested address, demoted after a failure, and leaving. An endpoint with a lower status is preferred whatever its cost.
const (
	statusHealthy = iota
	statusStalled
	statusLapsed
	statusFailed
	statusLeaving
)

// candidate is the status and the cost of an endpoint; lower is better for both.
type candidate struct {
	status int
	cost   float64
}

// betterThan reports whether c should be chosen before other: by status first, then by cost.
func (c candidate) betterThan(other candidate) bool {
	if c.status != other.status {
		return c.status < other.status
	}
	return c.cost < other.cost
}

// Choose returns the index of the endpoint that a request of the route should go to, or -1 if there is none.
// Endpoints in tried, misdirected ones and those that take no requests are skipped, and so are leaving ones unless all
// are. With healthyOnly, so are endpoints that are stalled, lapsed, leaving or demoted after a failure.
func (t *Tracker) Choose(
	now time.Time, route unit.RouteName, endpoints []directory.Endpoint, tried []unit.EndpointID, healthyOnly bool,
) int {
	best, index := candidate{}, -1
	for i, e := range endpoints {
		if slices.Contains(tried, e.ID) || t.isMisdirected(e) || !t.MayUse(now, e) {
			continue
		}
		if t.isLeaving(e) && !t.allLeaving(endpoints) {
			continue
		}
		c := t.evaluate(now, route, e)
		if healthyOnly && c.status != statusHealthy {
			continue
		}
		if index < 0 || c.betterThan(best) {
			best, index = c, i
		}
	}
	return index
}

// isMisdirected reports whether another endpoint was found at the endpoint's address and the endpoint has not
// registered again since.
func (t *Tracker) isMisdirected(e directory.Endpoint) bool {
	s := t.states[e.ID]
	return s != nil && s.misdirected && !e.After(s.misdirectedPosition)
}

// evaluate returns an endpoint's status and its cost: the expected latency of a further request relative to the
// typical latency, increased for remote, cold and stalled endpoints.
func (t *Tracker) evaluate(now time.Time, route unit.RouteName, e directory.Endpoint) candidate {
	c := candidate{cost: 1}
	if t.isRemote(e) {
		c.cost *= remoteCostFactor
	}
	if now.Before(e.WarmAt) {
		c.cost *= coldCostFactor
	}
	c.cost *= 1 + costJitter*t.Rand()
	if e.Lapsed || e.Contested {
		c.status = statusLapsed
	}
	s := t.states[e.ID]
	if s == nil {
		return c
	}
	c.cost *= s.latencyFactor(now) * s.slowness(now) * s.loadFactor(now, e.Slots)
	switch {
	case t.isLeaving(e):
		c.status = statusLeaving
	case now.Before(s.demotedUntil):
		c.status = max(c.status, statusFailed)
	case s.isStalled(now, t.typicalLatency[route]):
		c.status = max(c.status, statusStalled)
		c.cost *= float64(len(s.open) + 1)
	}
	return c
}

// slowness returns how long work is expected to take at the endpoint now, relative to its usual time: what it reported
// last, which loses weight with its age. It is 1 for an endpoint that does not report it, and is never less: a report can't
// draw requests to an endpoint.
func (s *state) slowness(now time.Time) float64 {
	if s.load.Slowness <= usualSlowness {
		return 1
	}
	age := now.Sub(s.loadReportedAt).Seconds() / slownessReportHalfLife.Seconds()
	return 1 + (s.load.Slowness-1)*math.Exp2(-max(0, age))
}

// latencyFactor returns the endpoint's mean latency relative to the typical one. A slow endpoint's factor decays
// towards 1 with the time since its last sample.
func (s *state) latencyFactor(now time.Time) float64 {
	if s.latencyRatio == 0 {
		return 1
	}
	if s.latencyRatio <= 1 {
		return s.latencyRatio
	}
	halfLives := now.Sub(s.lastSample).Seconds() / slownessHalfLife.Seconds()
	return 1 + (s.latencyRatio-1)*math.Exp2(-max(0, halfLives))
}

// loadFactor returns the factor by which the requests open or queued at the endpoint slow down a further one. It uses
// the larger of this VM's open requests and the last load report, which loses weight with its age.
func (s *state) loadFactor(now time.Time, slots unit.Slots) float64 {
	age := now.Sub(s.loadReportedAt).Seconds() / reportHalfLife.Seconds()
	reported := float64(s.load.Running+s.load.Waiting) * math.Exp2(-max(0, age))
	if s.load.Slowness > 0 {
		reported += float64(s.sentSinceReport())
	}
	n := max(float64(len(s.open)), reported)
	capacity := float64(max(slots, 1))
	return 1 + 0.3*min(n, capacity)/capacity + max(0, n+1-capacity)/capacity
}

// sentSinceReport returns the number of open requests that the last load report can't have counted.
func (s *state) sentSinceReport() int {
	n := 0
	for _, sent := range s.open {
		if sent.After(s.loadReportedAt) {
			n++
		}
	}
	return n
}

// isStalled reports whether the oldest open request has been open for much longer than the typical latency: longer than
// stallLatencyRatio times, more for an endpoint that is slow on average. It is false without open requests.
func (s *state) isStalled(now time.Time, typical time.Duration) bool {
	if len(s.open) == 0 {
		return false
	}
	limit := max(minStallAge, time.Duration(stallLatencyRatio*max(1, min(s.latencyRatio, 2))*float64(typical)))
	return now.Sub(s.open[0]) > limit
}
