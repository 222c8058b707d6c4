package soak

import (
	"cmp"
	"slices"
	"strings"

	"basilspan/internal/core/unit"
)

// succeeded reports whether the response has a 2xx status.
func (req *Request) succeeded() bool {
	return req.Status >= 200 && req.Status < 300
}

// claimsNotRun reports whether the status means that the request was not run.
func (req *Request) claimsNotRun() bool {
	return slices.Contains([]int{408, 421, 429, 503}, req.Status)
}

// endpointOfSeal returns the endpoint that signed a response with seal. It returns false if the endpoint is unknown
// or signed another request than id.
func (h *History) endpointOfSeal(seal string, id unit.RequestID) (unit.EndpointID, bool) {
	endpoint, rest, _ := strings.Cut(seal, ".")
	_, known := h.Services[unit.EndpointID(endpoint)]
	return unit.EndpointID(endpoint), known && rest == string(id)
}

// checkOwnResponse reports successful responses of a single service that are not signed for their request, or whose
// body is not the whole body of the endpoint that signed them.
func checkOwnResponse(h *History, report func(string, ...any)) {
	for _, req := range h.Requests {
		if req.Path == PathAll || !req.succeeded() {
			continue
		}
		endpoint, ok := h.endpointOfSeal(req.Seal, req.ID)
		if !ok {
			report("%s: signature %q", req.ID, req.Seal)
			continue
		}
		if want := h.Records[h.Services[endpoint]]; req.ResponseBody != want {
			report("%s: body %q, the endpoint sent %q", req.ID, req.ResponseBody, want)
		}
	}
}

// checkCoverage reports merged responses whose shards and missing shards do not make up a routing table, or whose
// records are not the greatest of those shards.
func checkCoverage(h *History, report func(string, ...any)) {
	for _, req := range h.Requests {
		if req.Path != PathAll || !req.succeeded() {
			continue
		}
		var services []unit.ServiceName
		for _, seal := range req.Seals {
			endpoint, ok := h.endpointOfSeal(seal, req.ID)
			if !ok {
				report("%s: signature %q", req.ID, seal)
			}
			services = append(services, h.Services[endpoint])
		}
		if !h.coversTable(req, services) {
			report("%s: shards %v and %d missing match no table", req.ID, services, req.MissingShards)
		}
		if want := h.topRecords(services); req.ResponseBody != want {
			report("%s: records %q, want %q", req.ID, req.ResponseBody, want)
		}
	}
}

// coversTable reports whether the services are distinct shards of a table published before the response, whether
// together with the missing ones they make up all its shards, and whether they reach MinShare.
func (h *History) coversTable(req Request, services []unit.ServiceName) bool {
	sorted := slices.Sorted(slices.Values(services))
	if len(slices.Compact(sorted)) != len(services) || len(services) == 0 {
		return false
	}
	return slices.ContainsFunc(h.Tables, func(t Table) bool {
		foreign := slices.ContainsFunc(services, func(s unit.ServiceName) bool { return !slices.Contains(t.Shards, s) })
		share := unit.Share(len(services)) / unit.Share(len(t.Shards))
		return !foreign && len(services)+req.MissingShards == len(t.Shards) && share >= h.Bounds.MinShare &&
			t.Published.Before(req.Ended)
	})
}

// topRecords returns the greatest TopK records of the services' bodies, in descending order.
func (h *History) topRecords(services []unit.ServiceName) string {
	var all []string
	for _, s := range services {
		for body := h.Records[s]; len(body) >= recordSize; body = body[recordSize:] {
			all = append(all, body[:recordSize])
		}
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(b, a) })
	return strings.Join(all[:min(len(all), h.Bounds.TopK)], "")
}

// checkNotRun reports requests that ran at an endpoint although their status means that they did not.
func checkNotRun(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, req := range h.Requests {
		if req.claimsNotRun() && len(runs[req.ID]) > 0 {
			report("%s: answered %d, but run at %s", req.ID, req.Status, runs[req.ID][0].Endpoint)
		}
	}
}

// checkTimeout reports requests that ended more than timeoutSlack after the timeout of the caller or of the route,
// whichever is shorter. It leaves out requests that the caller abandoned, and those during which, or within CalmTime
// before, there was a VM or global fault.
func checkTimeout(h *History, report func(string, ...any)) {
	for _, req := range h.Requests {
		limit := min(req.Remaining, h.Bounds.Timeout) + timeoutSlack
		if !req.GaveUp && req.Ended.Sub(req.Sent) > limit && h.isCalm(req.VM, req.Sent, req.Ended) {
			report("%s: ended after %v with %d", req.ID, req.Ended.Sub(req.Sent), req.Status)
		}
	}
}
