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
	standingSound = iota
	standingStalled
	standingLapsed
	standingFailed
)

// candidate is an endpoint with its standing and its cost, both of which are better when lower.
type candidate struct {
	standing int
	cost     float64
}

func (c candidate) betterThan(other candidate) bool {
	if c.standing != other.standing {
		return c.standing < other.standing
	}
	return c.cost < other.cost
}

// Choose gives the index of the endpoint that a request of the route goes to, or -1. Endpoints in tried are left out.
// A caller that asks for sound endpoints only gets none that is stalled, failed or lapsed.
func (t *Tracker) Choose(
	now time.Time, route unit.RouteName, all []directory.Endpoint, tried []unit.EndpointID, soundOnly bool,
) int {
	best, at := candidate{}, -1
	for i, e := range all {
		if slices.Contains(tried, e.ID) || t.isLost(e) {
			continue
		}
		c := t.rate(now, route, e)
		if soundOnly && c.standing != standingSound {
			continue
		}
		if at < 0 || c.betterThan(best) {
			best, at = c, i
		}
	}
	return at
}

// isLost says whether another endpoint has the endpoint's address, as far as the registration tells.
func (t *Tracker) isLost(e directory.Endpoint) bool {
	s := t.states[e.ID]
	return s != nil && s.lost && e.Revision <= s.lostAt
}

// rate gives an endpoint's standing and the latency that a further request may expect there, in relation to the usual.
func (t *Tracker) rate(now time.Time, route unit.RouteName, e directory.Endpoint) candidate {
	c := candidate{cost: 1}
	if t.isFar(e) {
		c.cost *= farFactor
	}
	if now.Before(e.WarmAt) {
		c.cost *= coldFactor
	}
	c.cost *= 1 + spread*t.Rand()
	if e.Lapsed {
		c.standing = standingLapsed
	}
	s := t.states[e.ID]
	if s == nil {
		return c
	}
	c.cost *= s.expected(now) * s.crowding(now, e.Slots)
	switch {
	case now.Before(s.until):
		c.standing = max(c.standing, standingFailed)
	case s.stalled(now, t.usual[route]):
		c.standing = max(c.standing, standingStalled)
		c.cost *= float64(len(s.open) + 1)
	}
	return c
}

// expected gives the mean latency in relation to the usual one, as it has faded since the last sample.
func (s *state) expected(now time.Time) float64 {
	if s.slow == 0 {
		return 1
	}
	if s.slow <= 1 {
		return s.slow
	}
	halves := now.Sub(s.sampled).Seconds() / fadeHalf.Seconds()
	return 1 + (s.slow-1)*math.Exp2(-max(0, halves))
}

// crowding gives the factor by which the requests that are under way or waiting at the endpoint slow a further one.
func (s *state) crowding(now time.Time, slots unit.Slots) float64 {
	age := now.Sub(s.loadAt).Seconds() / reportHalf.Seconds()
	reported := float64(s.load.Running+s.load.Waiting) * math.Exp2(-max(0, age))
	n := max(float64(len(s.open)), reported)
	room := float64(max(slots, 1))
	return 1 + 0.3*min(n, room)/room + max(0, n+1-room)/room
}

// stalled says whether the oldest request under way has been open for far longer than usual.
func (s *state) stalled(now time.Time, usual time.Duration) bool {
	if len(s.open) == 0 {
		return false
	}
	limit := max(stallLeast, time.Duration(stallRatio*max(1, min(s.slow, 2))*float64(usual)))
	return now.Sub(s.open[0]) > limit
}
