package replica

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// roomSpread is the largest share of the time between two free slots by which a request waits longer, so that the VMs
// don't all return to an endpoint at once.
const roomSpread = 1.0

// minRoomWait is the shortest time between two slots that come free at an endpoint, also while no latency is known.
const minRoomWait = time.Millisecond

// RoomAt returns when one of the endpoints is expected to accept a further request of the route: now if one has not
// rejected a request lately, and the zero time if none may be used.
func (t *Tracker) RoomAt(now time.Time, route unit.RouteName, endpoints []directory.Endpoint) time.Time {
	var first time.Time
	for _, e := range endpoints {
		if t.isMisdirected(e) || t.isLeaving(e) {
			continue
		}
		at := t.roomAt(now, route, e)
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// roomAt returns when one endpoint is expected to accept a further request. An endpoint that has rejected a request had
// as many waiting as it takes; each slot that comes free makes room for one more.
func (t *Tracker) roomAt(now time.Time, route unit.RouteName, e directory.Endpoint) time.Time {
	s := t.states[e.ID]
	if s == nil {
		return now
	}
	at := now
	if !s.rejectedAt.IsZero() {
		between := float64(t.typicalLatency[route]) * max(1, s.slowness(now)) / float64(max(e.Slots, 1))
		between = max(between, float64(minRoomWait))
		since, ahead := s.rejectedAt, 1.0
		if s.queueLimit > 0 {
			// Later reports count what other VMs have sent since, and what has come free.
			since, ahead = s.loadReportedAt, float64(s.load.Waiting+s.sentSinceReport()-s.queueLimit+1)
		}
		if ahead > 0 {
			at = later(at, since.Add(time.Duration((ahead+roomSpread*s.returnSpread)*between)))
		}
	}
	return later(at, s.backoff.until)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
