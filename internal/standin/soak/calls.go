package soak

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// runsByRequest returns the executions of each request.
func (h *History) runsByRequest() map[unit.RequestID][]Run {
	all := make(map[unit.RequestID][]Run)
	for _, r := range h.Runs {
		all[unit.RequestID(r.ID)] = append(all[unit.RequestID(r.ID)], r)
	}
	return all
}

// checkRunOnce reports requests on PathOnce that ran more than once.
func checkRunOnce(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, req := range h.Requests {
		if n := len(runs[req.ID]); req.Path == PathOnce && n > 1 {
			report("%s: run %d times", req.ID, n)
		}
	}
}

// checkRunsRequested reports executions that no caller requested, or with another method, URI or body than the
// caller's.
func checkRunsRequested(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, r := range h.Runs {
		req := requests[unit.RequestID(r.ID)]
		switch {
		case req == nil:
			report("%s: run at %s, but no caller sent it", r.ID, r.Endpoint)
		case r.Method != req.Method || r.URI != string(req.Path)+r.ID || r.Body != req.Body:
			report("%s: run as %s %s with %q", r.ID, r.Method, r.URI, r.Body)
		}
	}
}

// requestsByID returns the requests by their ID.
func (h *History) requestsByID() map[unit.RequestID]*Request {
	requests := make(map[unit.RequestID]*Request, len(h.Requests))
	for i := range h.Requests {
		requests[h.Requests[i].ID] = &h.Requests[i]
	}
	return requests
}

// checkExtraCalls reports services that got more extra calls than allowed. An extra call is any but the first call for
// a request. For the window that ends at each extra call, the allowance follows from the larger number of requests: in
// that window or in the one before.
func checkExtraCalls(h *History, report func(string, ...any)) {
	calls := make(map[unit.ServiceName][]Call)
	for _, c := range h.Calls {
		calls[c.Service] = append(calls[c.Service], c)
	}
	for service, all := range calls {
		slices.SortFunc(all, func(a, b Call) int { return a.At.Compare(b.At) })
		sendTimes := h.sendTimesFor(service)
		var extras []time.Time
		seen := make(map[string]bool)
		for _, c := range all {
			if !seen[c.ID] {
				seen[c.ID] = true
				continue
			}
			extras = append(extras, c.At)
			n := countWithin(extras, c.At, h.Bounds.Window)
			requested := max(countWithin(sendTimes, c.At, h.Bounds.Window),
				countWithin(sendTimes, c.At.Add(-h.Bounds.Window), h.Bounds.Window))
			if allowed := h.Bounds.Ratio*float64(requested) + h.Bounds.Slack; float64(n) > allowed {
				report("%s: %d extra calls for %d requests in the window before %v", service, n, requested, c.At)
				break
			}
		}
	}
}

// sendTimesFor returns the send times of the requests that are routed to a service by the newest table at that time or
// by the one before it.
func (h *History) sendTimesFor(service unit.ServiceName) []time.Time {
	var all []time.Time
	for _, req := range h.Requests {
		newest := h.newestTable(req.Sent)
		isRouted := slices.ContainsFunc(h.Tables, func(t Table) bool {
			if t.Version != newest && t.Version+1 != newest {
				return false
			}
			return slices.Contains(t.servicesFor(req.Path), service)
		})
		if isRouted {
			all = append(all, req.Sent)
		}
	}
	return all
}

// servicesFor returns the services that the table routes requests on a path to.
func (t Table) servicesFor(p Path) []unit.ServiceName {
	switch p {
	case PathAll:
		return t.Shards
	case PathMoved:
		return []unit.ServiceName{t.MovedService}
	case PathOnce:
		return []unit.ServiceName{serviceOnce}
	default:
		return []unit.ServiceName{serviceOne}
	}
}

// countWithin returns how many of the times lie in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

// checkLeaving reports calls to an endpoint that has been leaving for longer than DrainTime, for requests that were
// sent after that time, unless the VM had a fault or there was a global fault (see isCalm).
func checkLeaving(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, c := range h.Calls {
		req := requests[unit.RequestID(c.ID)]
		if req == nil || !h.isCalm(req.VM, req.Sent, c.At) {
			continue
		}
		for _, l := range h.Leaving {
			late := c.At.Sub(l.From) > h.Bounds.DrainTime && (l.To.IsZero() || c.At.Before(l.To))
			if l.Endpoint == c.Endpoint && late && req.Sent.After(l.From.Add(h.Bounds.DrainTime)) {
				report("%s: sent to %s, which has been leaving for %v", c.ID, c.Endpoint, c.At.Sub(l.From))
			}
		}
	}
}

// checkEvacuated reports calls to an endpoint whose data centre has been evacuated for longer than DrainTime, for requests
// that were sent after that time. It leaves out VMs that had a fault then, and those that a fault may have kept from
// learning of the evacuation. A VM that knows of it keeps to it also while the registry is away or restored.
func checkEvacuated(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, c := range h.Calls {
		req := requests[unit.RequestID(c.ID)]
		if req == nil {
			continue
		}
		for _, l := range h.Evacuated {
			due := l.From.Add(h.Bounds.DrainTime)
			if l.Endpoint != c.Endpoint || !req.Sent.After(due) || !l.To.IsZero() && !c.At.Before(l.To) {
				continue
			}
			knows := h.isCalm(req.VM, l.From, due) && h.lifetimeAt(req.VM, l.From) == h.lifetimeAt(req.VM, c.At) &&
				h.reaches(req.VM, c.Endpoint, req.Sent, c.At)
			if knows || h.isCalm(req.VM, req.Sent, c.At) {
				report("%s: sent to %s, whose data centre has been evacuated for %v", c.ID, c.Endpoint, c.At.Sub(l.From))
			}
		}
	}
}
