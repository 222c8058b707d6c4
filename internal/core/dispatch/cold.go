package dispatch

import (
	"time"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/warming"
)

// SetCold sets the bound on the requests to cold endpoints.
func (d *Dispatcher) SetCold(limits warming.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldLimits = limits
}

// isColdLimited reports whether the requests to an endpoint are limited at now because it is cold.
func isColdLimited(now time.Time, v *discovery.View, e directory.Endpoint) bool {
	return now.Before(e.WarmAt) && v.Table.ColdRate(e.Service) > 0
}

// withheld returns the cold endpoints of a service that get no request from this VM now. The caller holds mu.
func (d *Dispatcher) withheld(now time.Time, v *discovery.View, service unit.ServiceName) []unit.EndpointID {
	var ids []unit.EndpointID
	var sharers []unit.NodeID
	for _, e := range v.Endpoints[service] {
		if !isColdLimited(now, v, e) {
			continue
		}
		if sharers == nil {
			sharers = v.Sharers(d.node, service)
		}
		if !d.coldTracker.Allows(now, e.ID, sharers, d.coldLimits.Bound(v.Table.ColdRate(service))) {
			ids = append(ids, e.ID)
		}
	}
	if len(ids) > 0 {
		d.Metrics.Add("attempt.withheld", int64(len(ids)))
	}
	return ids
}

// allWithheld reports whether there are endpoints of a service and none gets a request from this VM now, because all are
// cold.
func (d *Dispatcher) allWithheld(service unit.ServiceName) bool {
	v := d.Views.Load()
	if !v.Complete() || len(v.Endpoints[service]) == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.withheld(d.Now(), v, service)) == len(v.Endpoints[service])
}

// recordCold counts a request that was chosen for an endpoint at now, if it is cold in the latest view. The caller holds mu.
func (d *Dispatcher) recordCold(now time.Time, e directory.Endpoint) {
	if v := d.Views.Load(); isColdLimited(now, v, latestOf(v, e)) {
		d.coldTracker.Record(now, e.ID)
	}
}

// mayWriteCold reports whether a request that was chosen for an endpoint at chosen may still be written as far as the limit
// on cold endpoints is concerned. The caller holds mu.
func (d *Dispatcher) mayWriteCold(now, chosen time.Time, v *discovery.View, e directory.Endpoint) bool {
	return !isColdLimited(now, v, latestOf(v, e)) || d.coldTracker.MayWrite(now, chosen, e.ID)
}

// latestOf returns an endpoint as a view has it, or unchanged if it is not there. A request may know it from an earlier
// view, before it turned cold.
func latestOf(v *discovery.View, e directory.Endpoint) directory.Endpoint {
	for _, known := range v.Endpoints[e.Service] {
		if known.ID == e.ID {
			return known
		}
	}
	return e
}
