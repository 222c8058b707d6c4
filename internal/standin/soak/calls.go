package soak

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// runsOf gives the runs by request.
func (h *History) runsOf() map[unit.RequestID][]Run {
	all := make(map[unit.RequestID][]Run)
	for _, r := range h.Runs {
		all[unit.RequestID(r.ID)] = append(all[unit.RequestID(r.ID)], r)
	}
	return all
}

func checkOnce(h *History, report func(string, ...any)) {
	runs := h.runsOf()
	for _, a := range h.Asks {
		if n := len(runs[a.ID]); a.Path == PathOnce && n > 1 {
			report("%s: run %d times", a.ID, n)
		}
	}
}

func checkAsked(h *History, report func(string, ...any)) {
	asks := h.asksByID()
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

func (h *History) asksByID() map[unit.RequestID]*Ask {
	asks := make(map[unit.RequestID]*Ask, len(h.Asks))
	for i := range h.Asks {
		asks[h.Asks[i].ID] = &h.Asks[i]
	}
	return asks
}

// checkExtra compares, for the window that ends at each call, the calls of a service beyond the first of each request
// with what the requests for it in that window or the one before allow.
func checkExtra(h *History, report func(string, ...any)) {
	calls := make(map[unit.ServiceName][]Call)
	for _, c := range h.Calls {
		calls[c.Service] = append(calls[c.Service], c)
	}
	for service, all := range calls {
		slices.SortFunc(all, func(a, b Call) int { return a.At.Compare(b.At) })
		asks := h.asksFor(service)
		var extras []time.Time
		seen := make(map[string]bool)
		for _, c := range all {
			if !seen[c.ID] {
				seen[c.ID] = true
				continue
			}
			extras = append(extras, c.At)
			n := within(extras, c.At, h.Terms.Window)
			asked := max(within(asks, c.At, h.Terms.Window), within(asks, c.At.Add(-h.Terms.Window), h.Terms.Window))
			if allowed := h.Terms.Ratio*float64(asked) + h.Terms.Slack; float64(n) > allowed {
				report("%s: %d extra calls with %d requests in the window before %v", service, n, asked, c.At)
				break
			}
		}
	}
}

// asksFor gives when the requests on routes to a service were sent, by the table in force at the VM or the one before.
func (h *History) asksFor(service unit.ServiceName) []time.Time {
	var all []time.Time
	for _, a := range h.Asks {
		newest := h.newest(a.Sent)
		goes := slices.ContainsFunc(h.Tables, func(t Table) bool {
			if t.Version != newest && t.Version+1 != newest {
				return false
			}
			return slices.Contains(t.services(a.Path), service)
		})
		if goes {
			all = append(all, a.Sent)
		}
	}
	return all
}

// services gives the services that requests on a path go to.
func (t Table) services(p Path) []unit.ServiceName {
	switch p {
	case PathAll:
		return t.Shards
	case PathMoved:
		return []unit.ServiceName{t.Moved}
	case PathOnce:
		return []unit.ServiceName{serviceOnce}
	default:
		return []unit.ServiceName{serviceOne}
	}
}

// within counts the times of the window that ends at a time.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if t.After(end.Add(-window)) && !t.After(end) {
			n++
		}
	}
	return n
}

func checkLeaving(h *History, report func(string, ...any)) {
	asks := h.asksByID()
	for _, c := range h.Calls {
		a := asks[unit.RequestID(c.ID)]
		if a == nil || !h.calm(a.VM, a.Sent, c.At) {
			continue
		}
		for _, l := range h.Leaves {
			late := c.At.Sub(l.From) > h.Terms.Drain && (l.To.IsZero() || c.At.Before(l.To))
			if l.Endpoint == c.Endpoint && late && a.Sent.After(l.From.Add(h.Terms.Drain)) {
				report("%s: at %s, which has been leaving for %v", c.ID, c.Endpoint, c.At.Sub(l.From))
			}
		}
	}
}
