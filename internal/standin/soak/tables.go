package soak

import (
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

// checkTableApplied looks for runs by a service that only tables older than the one that must be in force name.
func checkTableApplied(h *History, report func(string, ...any)) {
	asks := h.requestsByID()
	for _, r := range h.Runs {
		a := asks[unit.RequestID(r.ID)]
		if a == nil || a.Path != PathMoved || !h.isCalm(a.VM, a.Sent, a.Sent) {
			continue
		}
		due := h.newestTable(a.Sent.Add(-h.Bounds.ApplyTime))
		if newest := h.newestTableFor(r.Service, r.At); newest < due {
			report("%s: run by %s of table %d at VM %d, %d is due", r.ID, r.Service, newest, a.VM, due)
		}
	}
}

// newestTable gives the newest table that was published by a time, 0 when there is none.
func (h *History) newestTable(by time.Time) unit.TableVersion {
	var newest unit.TableVersion
	for _, t := range h.Tables {
		if !t.Published.After(by) {
			newest = max(newest, t.Version)
		}
	}
	return newest
}

// newestTableFor gives the newest table published by a time in which PathMoved goes to a service.
func (h *History) newestTableFor(service unit.ServiceName, by time.Time) unit.TableVersion {
	var newest unit.TableVersion
	for _, t := range h.Tables {
		if t.MovedService == service && !t.Published.After(by) {
			newest = max(newest, t.Version)
		}
	}
	return newest
}

// checkTableOrder looks for a process that serves by a table and later by an older one alone.
func checkTableOrder(h *History, report func(string, ...any)) {
	asks := h.requestsByID()
	runs := slices.Clone(h.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	type seen struct {
		version unit.TableVersion
		at      time.Time
	}
	effects := make(map[*Lifetime][]seen)
	for _, r := range runs {
		a := asks[unit.RequestID(r.ID)]
		if a == nil || a.Path != PathMoved {
			continue
		}
		life := h.lifetimeAt(a.VM, a.Sent)
		newest := h.newestTableFor(r.Service, r.At)
		if life == nil {
			continue
		}
		for _, s := range effects[life] {
			if newest < s.version && a.Sent.Sub(s.at) > olderTableSlack {
				report("%s: run by table %d at VM %d, which had served by %d", r.ID, newest, a.VM, s.version)
				break
			}
		}
		effects[life] = append(effects[life], seen{version: newest, at: r.At})
	}
}
