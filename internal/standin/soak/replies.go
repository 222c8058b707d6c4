package soak

import (
	"slices"
	"strconv"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// turnAwaySlack is the time after a 503 with Retry-After from which requests count, and maxTurnedAway is how many may
	// still reach the endpoint then.
	turnAwaySlack = 500 * time.Millisecond
	maxTurnedAway = 2
)

// checkTurnedAway reports VMs that send more than maxTurnedAway requests to an endpoint between turnAwaySlack after its
// 503 with Retry-After and the end of that time.
func checkTurnedAway(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, c := range h.Calls {
		req := requests[unit.RequestID(c.ID)]
		seconds, err := strconv.ParseFloat(c.RetryAfter, 64)
		if req == nil || err != nil {
			continue
		}
		from, to := c.At.Add(turnAwaySlack), c.At.Add(time.Duration(seconds*float64(time.Second)))
		if !h.reaches(req.VM, c.Endpoint, c.At, to) {
			continue
		}
		n := 0
		for _, other := range h.Calls {
			otherReq := requests[unit.RequestID(other.ID)]
			sameVM := otherReq != nil && otherReq.VM == req.VM && other.Endpoint == c.Endpoint && !other.Misdirected
			if sameVM && other.At.After(from) && other.At.Before(to) {
				n++
			}
		}
		if n > maxTurnedAway {
			report("%s: VM %d sent %d requests to %s within its Retry-After of %s", c.ID, req.VM, n, c.Endpoint, c.RetryAfter)
		}
	}
}

// checkAnnounced reports requests that were sent to a VM later than the drain time after it had passed on a reply in which
// an endpoint says that it is leaving, and that reach that endpoint.
func checkAnnounced(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, l := range h.Announced {
		// passedOn is when each VM had first passed on such a reply.
		passedOn := make(map[int]time.Time)
		for _, c := range h.Calls {
			req := requests[unit.RequestID(c.ID)]
			if req == nil || c.Endpoint != l.Endpoint || !c.Leaving || !l.overlaps(c.At, c.At) || !req.contains(c) {
				continue
			}
			if first, ok := passedOn[req.VM]; !ok || req.Ended.Before(first) {
				passedOn[req.VM] = req.Ended
			}
		}
		for _, c := range h.Calls {
			req := requests[unit.RequestID(c.ID)]
			if req == nil || c.Endpoint != l.Endpoint || c.Misdirected || !l.overlaps(c.At, c.At) {
				continue
			}
			told, ok := passedOn[req.VM]
			if ok && req.Sent.After(told.Add(h.Bounds.DrainTime)) && h.reaches(req.VM, c.Endpoint, told, c.At) {
				report("%s: sent to %s by VM %d, which passed on that it is leaving %v before", c.ID, c.Endpoint, req.VM,
					req.Sent.Sub(told))
			}
		}
	}
}

// contains reports whether the response to the request has the reply to a call.
func (r *Request) contains(c Call) bool {
	seal := string(c.Endpoint) + "." + c.ID
	return r.Status != 0 && (r.Seal == seal || slices.Contains(r.Seals, seal))
}
