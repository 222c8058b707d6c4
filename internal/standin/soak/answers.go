package soak

import (
	"cmp"
	"slices"
	"strings"

	"basilspan/internal/core/unit"
)

func (a *Request) succeeded() bool {
	return a.Status >= 200 && a.Status < 300
}

// claimsNotRun says whether an answer promises that its request has not run.
func (a *Request) claimsNotRun() bool {
	return slices.Contains([]int{408, 421, 429, 503}, a.Status)
}

// endpointOfSeal gives the endpoint whose signature a reply to that request bears.
func (h *History) endpointOfSeal(seal string, id unit.RequestID) (unit.EndpointID, bool) {
	endpoint, rest, _ := strings.Cut(seal, ".")
	_, known := h.Services[unit.EndpointID(endpoint)]
	return unit.EndpointID(endpoint), known && rest == string(id)
}

func checkOwnResponse(h *History, report func(string, ...any)) {
	for _, a := range h.Requests {
		if a.Path == PathAll || !a.succeeded() {
			continue
		}
		endpoint, ok := h.endpointOfSeal(a.Seal, a.ID)
		if !ok {
			report("%s: signature %q", a.ID, a.Seal)
			continue
		}
		if want := h.Records[h.Services[endpoint]]; a.ResponseBody != want {
			report("%s: body %q, the endpoint gave %q", a.ID, a.ResponseBody, want)
		}
	}
}

func checkCoverage(h *History, report func(string, ...any)) {
	for _, a := range h.Requests {
		if a.Path != PathAll || !a.succeeded() {
			continue
		}
		var services []unit.ServiceName
		for _, seal := range a.Seals {
			endpoint, ok := h.endpointOfSeal(seal, a.ID)
			if !ok {
				report("%s: signature %q", a.ID, seal)
			}
			services = append(services, h.Services[endpoint])
		}
		if !h.coversTable(a, services) {
			report("%s: shards %v and %d missing are of no table", a.ID, services, a.MissingShards)
		}
		if want := h.topRecords(services); a.ResponseBody != want {
			report("%s: records %q, want %q", a.ID, a.ResponseBody, want)
		}
	}
}

// coversTable says whether the services, each once, and the missing ones make up the shards of a table, and are enough.
func (h *History) coversTable(a Request, services []unit.ServiceName) bool {
	sorted := slices.Sorted(slices.Values(services))
	if len(slices.Compact(sorted)) != len(services) || len(services) == 0 {
		return false
	}
	return slices.ContainsFunc(h.Tables, func(t Table) bool {
		foreign := slices.ContainsFunc(services, func(s unit.ServiceName) bool { return !slices.Contains(t.Shards, s) })
		share := unit.Share(len(services)) / unit.Share(len(t.Shards))
		return !foreign && len(services)+a.MissingShards == len(t.Shards) && share >= h.Bounds.MinShare &&
			t.Published.Before(a.Ended)
	})
}

// topRecords gives the greatest records of the services' bodies.
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

func checkNotRun(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, a := range h.Requests {
		if a.claimsNotRun() && len(runs[a.ID]) > 0 {
			report("%s: answered %d, and run at %s", a.ID, a.Status, runs[a.ID][0].Endpoint)
		}
	}
}

func checkTimeout(h *History, report func(string, ...any)) {
	for _, a := range h.Requests {
		limit := min(a.Remaining, h.Bounds.Timeout) + timeoutSlack
		if !a.GaveUp && a.Ended.Sub(a.Sent) > limit && h.isCalm(a.VM, a.Sent, a.Ended) {
			report("%s: ended after %v with %d", a.ID, a.Ended.Sub(a.Sent), a.Status)
		}
	}
}
