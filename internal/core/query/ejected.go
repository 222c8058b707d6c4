package query

import (
	"time"

	"basilspan/internal/core/unit"
)

// Ejected reports whether queries of this entry VM use an endpoint only as a last resort for a while, because recent
// calls to it failed.
func (r *Runner) Ejected(now time.Time, search unit.SearchName, id unit.EndpointID) bool {
	r.health.mu.Lock()
	defer r.health.mu.Unlock()
	return r.health.getTracker().Condition(now, search, id).Ejected
}
