package query

import (
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/health"
)

// endpointHealth is what the queries of this entry VM have measured of the endpoints. It is safe for concurrent use.
type endpointHealth struct {
	mu      sync.Mutex
	tracker *health.Tracker
}

// plan selects the snapshot and the replicas of a query and reserves its allowance of extra attempts, which refund
// returns if unused. centre is this VM's data centre. ok is false if the search has no snapshot.
func (h *endpointHealth) plan(
	now time.Time, v *view.View, q fanout.Query, centre unit.CentreName,
) (plan fanout.Plan, ok bool) {
	search := v.Catalog.Searches[q.Search]
	h.mu.Lock()
	defer h.mu.Unlock()
	tracker := h.getTracker()
	plan, ok = fanout.ChoosePlan(search, q.ID, func(e catalog.Endpoint) fanout.EndpointState {
		c := tracker.Condition(now, q.Search, e.ID)
		return fanout.EndpointState{
			Leaving:          v.Leaving[e.ID],
			Ejected:          c.Ejected,
			Failing:          c.Failing,
			SameCentre:       e.Centre == centre,
			OpenAttempts:     c.OpenAttempts,
			Latency:          c.Latency,
			MissingSnapshots: c.MissingSnapshots,
		}
	})
	if !ok {
		return plan, false
	}
	plan.Options = fanoutOptions(search, tracker.Reserve(now, q.Search, len(plan.Shards)))
	return plan, true
}

// fanoutOptions returns the options of a fan-out, from the settings of its search and what the health tracker has
// reserved for the query.
func fanoutOptions(search *catalog.Search, reservation health.Reservation) fanout.Options {
	options := fanout.Options{
		Aim:              search.Aim,
		Minimum:          search.Minimum,
		Allowance:        reservation.Allowance,
		ExpectedDuration: reservation.ExpectedDuration,
	}
	if search.Hedge {
		options.HedgeAfter = reservation.HedgeAfter
	}
	return options
}

// refund puts back the n extra attempts of its allowance that a query has not used.
func (h *endpointHealth) refund(search unit.SearchName, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getTracker().Refund(search, n)
}

// recordSent records the start of an attempt. recordEnded must follow.
func (h *endpointHealth) recordSent(now time.Time, call endpoint.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getTracker().RecordSent(now, call.Attempt.Endpoint)
}

// recordEnded records that an attempt has ended at now with code; began is when it was sent.
func (h *endpointHealth) recordEnded(now, began time.Time, call endpoint.Call, code unit.Code) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getTracker().RecordResult(now, health.Result{
		Search:   call.Query.Search,
		Endpoint: call.Attempt.Endpoint,
		Snapshot: call.Attempt.Snapshot,
		Code:     code,
		Took:     now.Sub(began),
	})
}

// getTracker returns the tracker, and creates it on the first call. The caller holds mu.
func (h *endpointHealth) getTracker() *health.Tracker {
	if h.tracker == nil {
		h.tracker = health.New()
	}
	return h.tracker
}
