package replica

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// The standings of endpoints; one with a lower standing is chosen first.
const (
	statusHealthy = iota
	statusStalled
	statusLapsed
	statusFailed
)

// candidate is an endpoint with its standing and its cost, both of which are better when lower.
type candidate struct {
	status int
	cost   float64
}

func (c candidate) betterThan(other candidate) bool {
	if c.status != other.status {
		return c.status < other.status
	}
	return c.cost < other.cost
}

// Choose gives the index of the endpoint that a request of the route goes to, or -1. Endpoints in tried are left out.
// A caller that asks for sound endpoints only gets none that is stalled, failed or lapsed.
func (t *Tracker) Choose(
	now time.Time, route unit.RouteName, endpoints []directory.Endpoint, tried []unit.EndpointID, healthyOnly bool,
) int {
	best, index := candidate{}, -1
	for i, e := range endpoints {
		if slices.Contains(tried, e.ID) || t.isMisdirected(e) {
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

// isMisdirected says whether another endpoint has the endpoint's address, as far as the registration tells.
func (t *Tracker) isMisdirected(e directory.Endpoint) bool {
	s := t.states[e.ID]
	return s != nil && s.misdirected && e.Revision <= s.misdirectedRevision
}

// evaluate gives an endpoint's standing and the latency that a further request may expect there, in relation to the usual.
func (t *Tracker) evaluate(now time.Time, route unit.RouteName, e directory.Endpoint) candidate {
	c := candidate{cost: 1}
	if t.isRemote(e) {
		c.cost *= remoteCostFactor
	}
	if now.Before(e.Warm) {
		c.cost *= coldCostFactor
	}
	c.cost *= 1 + costJitter*t.Rand()
	if e.Lapsed {
		c.status = statusLapsed
	}
	s := t.states[e.ID]
	if s == nil {
		return c
	}
	c.cost *= s.latencyFactor(now) * s.loadFactor(now, e.Slots)
	switch {
	case now.Before(s.demotedUntil):
		c.status = max(c.status, statusFailed)
	case s.isStalled(now, t.typicalLatency[route]):
		c.status = max(c.status, statusStalled)
		c.cost *= float64(len(s.open) + 1)
	}
	return c
}

// latencyFactor gives the mean latency in relation to the usual one, as it has faded since the last sample.
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

// loadFactor gives the factor by which the requests that are under way or waiting at the endpoint slow a further one.
func (s *state) loadFactor(now time.Time, slots unit.Slots) float64 {
	age := now.Sub(s.loadReportedAt).Seconds() / reportHalfLife.Seconds()
	reported := float64(s.load.Running+s.load.Waiting) * math.Exp2(-max(0, age))
	n := max(float64(len(s.open)), reported)
	capacity := float64(max(slots, 1))
	return 1 + 0.3*min(n, capacity)/capacity + max(0, n+1-capacity)/capacity
}

// isStalled says whether the oldest request under way has been open for far longer than usual.
func (s *state) isStalled(now time.Time, typical time.Duration) bool {
	if len(s.open) == 0 {
		return false
	}
	limit := max(minStallAge, time.Duration(stallLatencyRatio*max(1, min(s.latencyRatio, 2))*float64(typical)))
	return now.Sub(s.open[0]) > limit
}
