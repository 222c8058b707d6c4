package query

import (
	"time"

	"basilspan/internal/core/unit"
)

// Ejected says whether the queries of this entry VM ask an endpoint last, after failures of its recent calls.
func (r *Runner) Ejected(now time.Time, search unit.SearchName, id unit.EndpointID) bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.known().Condition(now, search, id).Ejected
}
