package soak

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// checkTableApplied reports requests on PathMoved that ran at a service which only older tables name than the one that
// had to be in force: the newest one published at least ApplyTime before the request. It leaves out requests that were
// sent when the VM was not calm (see isCalm).
func checkTableApplied(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	for _, r := range h.Runs {
		req := requests[unit.RequestID(r.ID)]
		if req == nil || req.Path != PathMoved || !h.isCalm(req.VM, req.Sent, req.Sent) {
			continue
		}
		due := h.newestTable(req.Sent.Add(-h.Bounds.ApplyTime))
		if newest := h.newestTableFor(r.Service, r.At); newest < due {
			report("%s: run by %s of table %d at VM %d, want table %d", r.ID, r.Service, newest, req.VM, due)
		}
	}
}

// newestTable returns the newest table published up to a time, or 0 if there is none.
func (h *History) newestTable(by time.Time) unit.TableVersion {
	var newest unit.TableVersion
	for _, t := range h.Tables {
		if !t.Published.After(by) {
			newest = max(newest, t.Version)
		}
	}
	return newest
}

// newestTableFor returns the newest table published up to a time that routes PathMoved to a service, or 0 if there is
// none.
func (h *History) newestTableFor(service unit.ServiceName, by time.Time) unit.TableVersion {
	var newest unit.TableVersion
	for _, t := range h.Tables {
		if t.MovedService == service && !t.Published.After(by) {
			newest = max(newest, t.Version)
		}
	}
	return newest
}

// checkTableOrder reports processes that routed a request by a table and, more than olderTableSlack later, a request by
// an older one. Only requests on PathMoved show the table that routed them.
func checkTableOrder(h *History, report func(string, ...any)) {
	requests := h.requestsByID()
	runs := slices.Clone(h.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	type seen struct {
		version unit.TableVersion
		at      time.Time
	}
	effects := make(map[*Lifetime][]seen)
	for _, r := range runs {
		req := requests[unit.RequestID(r.ID)]
		if req == nil || req.Path != PathMoved {
			continue
		}
		lifetime := h.lifetimeAt(req.VM, req.Sent)
		newest := h.newestTableFor(r.Service, r.At)
		if lifetime == nil {
			continue
		}
		for _, s := range effects[lifetime] {
			if newest < s.version && req.Sent.Sub(s.at) > olderTableSlack {
				report("%s: routed by table %d at VM %d, which had already used table %d", r.ID, newest, req.VM, s.version)
				break
			}
		}
		effects[lifetime] = append(effects[lifetime], seen{version: newest, at: r.At})
	}
}
