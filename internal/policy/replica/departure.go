package replica

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

const (
	// defaultDrain is the drain time of endpoints if none is configured.
	defaultDrain = 2 * time.Second
	// lastResortShare is the part of the drain time, up to maxLastResort, for which a leaving endpoint is still used if
	// all endpoints of its service are leaving.
	lastResortShare = 0.25
	maxLastResort   = time.Second
	// departureMemory is how long it is remembered that an endpoint is leaving.
	departureMemory = time.Hour
)

// Departure is the news that an incarnation of an endpoint is leaving. Registered is the position of its latest
// registration that was known then, and Sequence is the registration's.
type Departure struct {
	ID         unit.EndpointID
	Born       time.Time
	Registered unit.Position
	Sequence   unit.Sequence
}

// DepartureOf returns the news that the endpoint with a registration is leaving.
func DepartureOf(r directory.Registration) Departure {
	return Departure{ID: r.ID, Born: r.Born, Registered: r.Position, Sequence: r.Sequence}
}

// departure is a Departure and when it was first heard of; the zero time means never.
type departure struct {
	Departure
	since time.Time
}

// appliesTo reports whether the endpoint is the incarnation that is leaving. If the start of either is unknown, a later
// registration ends the departure. One of a later era does so only if the endpoint itself published it later, since a
// restore of the registry gives old registrations new positions.
func (d departure) appliesTo(e directory.Registration) bool {
	switch {
	case d.since.IsZero():
		return false
	case !d.Born.IsZero() && !e.Born.IsZero():
		return !e.Born.After(d.Born)
	case e.Era > d.Registered.Era:
		return e.Sequence <= d.Sequence
	default:
		return !e.After(d.Registered)
	}
}

// RecordLeaving records the news that an endpoint is leaving, and reports whether it was not known before. The endpoint
// gets no requests from then on, except as a last resort (see usableWhileLeaving). The news holds whatever the registry
// says of this incarnation.
func (t *Tracker) RecordLeaving(now time.Time, news Departure) (begun bool) {
	s := t.state(news.ID)
	known := &s.departure
	registration := directory.Registration{
		ID: news.ID, Born: news.Born, Position: news.Registered, Sequence: news.Sequence,
	}
	switch {
	case !known.appliesTo(registration):
		s.departure = departure{Departure: news, since: now}
		return true
	case news.Registered.After(known.Registered):
		known.Registered, known.Sequence = news.Registered, max(known.Sequence, news.Sequence)
	}
	return false
}

// SetDrain sets for how long endpoints serve at least after they have said that they are leaving; 0 means defaultDrain.
func (t *Tracker) SetDrain(d time.Duration) {
	if d <= 0 {
		d = defaultDrain
	}
	t.lastResort = min(time.Duration(lastResortShare*float64(d)), maxLastResort)
}

// isLeaving reports whether the endpoint has said that it is leaving.
func (t *Tracker) isLeaving(e directory.Endpoint) bool {
	s := t.states[e.ID]
	return s != nil && s.departure.appliesTo(e.Registration)
}

// usableWhileLeaving reports whether a leaving endpoint may still get a request as a last resort.
func (t *Tracker) usableWhileLeaving(now time.Time, e directory.Endpoint) bool {
	return now.Before(t.states[e.ID].departure.since.Add(t.lastResort))
}

// allLeaving reports whether no endpoint is left that is not leaving.
func (t *Tracker) allLeaving(endpoints []directory.Endpoint) bool {
	for _, e := range endpoints {
		if !t.isMisdirected(e) && !t.isLeaving(e) {
			return false
		}
	}
	return true
}
