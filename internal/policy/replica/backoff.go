package replica

import (
	"time"

	"basilspan/internal/policy/directory"
)

const (
	// returnSpread is the largest share by which a backoff is extended at random, and maxReturnSpread bounds that
	// extension, so that the entry VMs don't all return to an endpoint at once.
	returnSpread    = 0.2
	maxReturnSpread = 2 * time.Second
)

// backoff is the time for which an endpoint that has turned a request away gets none.
type backoff struct {
	until time.Time
	// born is when the endpoint's incarnation started, the zero time if it is unknown.
	born time.Time
}

// holdsFor reports whether the endpoint gets no requests at now. A later incarnation has not turned any away.
func (b backoff) holdsFor(now time.Time, e directory.Endpoint) bool {
	return now.Before(b.until) && !startedAfter(e, b.born)
}

// startedAfter reports whether the endpoint is known to have started after an incarnation that was born at that time.
func startedAfter(e directory.Endpoint, born time.Time) bool {
	return !born.IsZero() && e.Born.After(born)
}

// RecordBackoff records that an endpoint has turned a request away and wants no more from this VM for wait. It returns
// when the endpoint may be chosen again, and whether a backoff has begun rather than one in force been extended. A late
// reply of an earlier incarnation has no effect.
func (t *Tracker) RecordBackoff(now time.Time, e directory.Endpoint, wait time.Duration) (until time.Time, begun bool) {
	s := t.state(e.ID)
	if !e.Born.IsZero() && e.Born.Before(s.backoff.born) {
		return s.backoff.until, false
	}
	begun = !s.backoff.holdsFor(now, e)
	spread := min(time.Duration(returnSpread*float64(wait)), maxReturnSpread)
	until = now.Add(wait + time.Duration(t.Rand()*float64(spread)))
	if !begun && until.Before(s.backoff.until) {
		until = s.backoff.until
	}
	s.backoff = backoff{until: until, born: e.Born}
	return until, begun
}

// MayUse reports whether a request may be sent to an endpoint at all, be it as a last resort.
func (t *Tracker) MayUse(now time.Time, e directory.Endpoint) bool {
	s := t.states[e.ID]
	switch {
	case s == nil:
		return true
	case t.isLeaving(e) && !t.usableWhileLeaving(now, e):
		return false
	default:
		return !s.backoff.holdsFor(now, e)
	}
}

// Unwanted reports whether there are endpoints and none of them takes requests from this VM: all have turned requests
// away or are leaving.
func (t *Tracker) Unwanted(now time.Time, endpoints []directory.Endpoint) bool {
	unwanted := false
	for _, e := range endpoints {
		switch {
		case t.isMisdirected(e):
		case t.MayUse(now, e):
			return false
		default:
			unwanted = true
		}
	}
	return unwanted
}

// AvailableAt returns when the first of the endpoints may be chosen, now or at the end of its backoff; ok is false if
// there is none. Leaving endpoints don't count.
func (t *Tracker) AvailableAt(now time.Time, endpoints []directory.Endpoint) (at time.Time, ok bool) {
	for _, e := range endpoints {
		if t.isMisdirected(e) || t.isLeaving(e) {
			continue
		}
		free := now
		if s := t.states[e.ID]; s != nil && s.backoff.holdsFor(now, e) {
			free = s.backoff.until
		}
		if !ok || free.Before(at) {
			at, ok = free, true
		}
	}
	return at, ok
}
