package dispatch

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/replica"
)

// wireDeparture is the news in wirePortionResult that an endpoint is leaving. Born is in Unix milliseconds, 0 if unknown.
type wireDeparture struct {
	ID       string `json:"id"`
	Born     int64  `json:"born,omitempty"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Sequence uint64 `json:"sequence,omitempty"`
}

// newWireDeparture encodes the news that an endpoint is leaving.
func newWireDeparture(news replica.Departure) wireDeparture {
	w := wireDeparture{
		ID: string(news.ID), Era: uint64(news.Registered.Era), Revision: uint64(news.Registered.Revision),
		Sequence: uint64(news.Sequence),
	}
	if !news.Born.IsZero() {
		w.Born = news.Born.UnixMilli()
	}
	return w
}

// departure decodes the news that an endpoint is leaving.
func (w wireDeparture) departure() replica.Departure {
	news := replica.Departure{
		ID:         unit.EndpointID(w.ID),
		Registered: unit.Position{Era: unit.Era(w.Era), Revision: unit.Revision(w.Revision)},
		Sequence:   unit.Sequence(w.Sequence),
	}
	if w.Born != 0 {
		news.Born = time.UnixMilli(w.Born).UTC()
	}
	return news
}

// SetDrain sets for how long endpoints serve at least after they have said that they are leaving; 0 means a default.
func (d *Dispatcher) SetDrain(drain time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpointTracker.SetDrain(drain)
}

// departureOf returns the news that an endpoint is leaving. It takes the registration that is known now rather than the
// one that the call was sent by, since the reply is later than both.
func (d *Dispatcher) departureOf(to directory.Endpoint) replica.Departure {
	for _, e := range d.Views.Load().Endpoints[to.Service] {
		if e.ID == to.ID && e.Born.Equal(to.Born) && e.After(to.Position) {
			return replica.DepartureOf(e.Registration)
		}
	}
	return replica.DepartureOf(to.Registration)
}

// recordLeaving records the news that an endpoint is leaving. The caller holds mu.
func (d *Dispatcher) recordLeaving(now time.Time, news replica.Departure) {
	if !d.endpointTracker.RecordLeaving(now, news) {
		return
	}
	d.Metrics.Add("endpoint.leaving", 1)
	d.Log.Info("endpoint leaving", "endpoint", news.ID, "era", news.Registered.Era, "revision", news.Registered.Revision)
}

// recordPeerDepartures records what another VM was told while it served a portion.
func (d *Dispatcher) recordPeerDepartures(all []wireDeparture) {
	if len(all) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range all {
		d.recordLeaving(d.Now(), w.departure())
	}
}

// departures returns the endpoints that have said in a reply to the fan-out that they are leaving.
func (f *fanout) departures() []wireDeparture {
	var all []wireDeparture
	for id, r := range f.replies {
		if r == nil || !r.Reply.Leaving || r.Reply.Misdirected {
			continue
		}
		to := f.endpoint(f.machine.Attempt(gather.AttemptID(id)))
		w := newWireDeparture(f.dispatcher.departureOf(to))
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}
