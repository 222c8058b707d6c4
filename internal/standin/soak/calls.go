package soak

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// runsByRequest gives the runs by request.
func (h *History) runsByRequest() map[unit.RequestID][]Run {
	all := make(map[unit.RequestID][]Run)
	for _, r := range h.Runs {
		all[unit.RequestID(r.ID)] = append(all[unit.RequestID(r.ID)], r)
	}
	return all
}

func checkRunOnce(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, a := range h.Requests {
		if n := len(runs[a.ID]); a.Path == PathOnce && n > 1 {
			report("%s: run %d times", a.ID, n)
		}
	}
}

func checkRunsRequested(h *History, report func(string, ...any)) {
	asks := h.requestsByID()
	for _, r := range h.Runs {
		a := asks[unit.RequestID(r.ID)]
		switch {
		case a == nil:
			report("%s: run at %s, sent by no caller", r.ID, r.Endpoint)
		case r.Method != a.Method || r.URI != string(a.Path)+r.ID || r.Body != a.Body:
			report("%s: run as %s %s with %q", r.ID, r.Method, r.URI, r.Body)
		}
	}
}

func (h *History) requestsByID() map[unit.RequestID]*Request {
	asks := make(map[unit.RequestID]*Request, len(h.Requests))
	for i := range h.Requests {
		asks[h.Requests[i].ID] = &h.Requests[i]
	}
	return asks
}

// checkExtraCalls compares, for the window that ends at each call, the calls of a service beyond the first of each request
// with what the requests for it in that window or the one before allow.
func checkExtraCalls(h *History, report func(string, ...any)) {
	calls := make(map[unit.ServiceName][]Call)
	for _, c := range h.Calls {
		calls[c.Service] = append(calls[c.Service], c)
	}
	for service, all := range calls {
		slices.SortFunc(all, func(a, b Call) int { return a.At.Compare(b.At) })
		asks := h.sendTimesFor(service)
		var extras []time.Time
		seen := make(map[string]bool)
		for _, c := range all {
			if !seen[c.ID] {
				seen[c.ID] = true
				continue
			}
			extras = append(extras, c.At)
			n := countWithin(extras, c.At, h.Bounds.Window)
			asked := max(countWithin(asks, c.At, h.Bounds.Window), countWithin(asks, c.At.Add(-h.Bounds.Window), h.Bounds.Window))
			if allowed := h.Bounds.Ratio*float64(asked) + h.Bounds.Slack; float64(n) > allowed {
				report("%s: %d extra calls with %d requests in the window before %v", service, n, asked, c.At)
				break
			}
		}
	}
}

// sendTimesFor gives when the requests on routes to a service were sent, by the table in force at the VM or the one before.
func (h *History) sendTimesFor(service unit.ServiceName) []time.Time {
	var all []time.Time
	for _, a := range h.Requests {
		newest := h.newestTable(a.Sent)
		goes := slices.ContainsFunc(h.Tables, func(t Table) bool {
			if t.Version != newest && t.Version+1 != newest {
				return false
			}
			return slices.Contains(t.servicesFor(a.Path), service)
		})
		if goes {
			all = append(all, a.Sent)
		}
	}
	return all
}

// servicesFor gives the services that requests on a path go to.
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

// countWithin counts the times of the window that ends at a time.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

func checkLeaving(h *History, report func(string, ...any)) {
	asks := h.requestsByID()
	for _, c := range h.Calls {
		a := asks[unit.RequestID(c.ID)]
		if a == nil || !h.isCalm(a.VM, a.Sent, c.At) {
			continue
		}
		for _, l := range h.Leaving {
			late := c.At.Sub(l.From) > h.Bounds.DrainTime && (l.To.IsZero() || c.At.Before(l.To))
			if l.Endpoint == c.Endpoint && late && a.Sent.After(l.From.Add(h.Bounds.DrainTime)) {
				report("%s: at %s, which has been leaving for %v", c.ID, c.Endpoint, c.At.Sub(l.From))
			}
		}
	}
}
