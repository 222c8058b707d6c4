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

// fleet is what the queries of this entry VM have learnt of the endpoints; several goroutines use it.
type fleet struct {
	mu      sync.Mutex
	tracker *health.Tracker
}

// plan chooses the snapshot and the replicas of a query and sets its extra attempts aside; centre is this VM's own.
func (f *fleet) plan(
	now time.Time, v *view.View, q fanout.Query, centre unit.CentreName,
) (plan fanout.Plan, ok bool) {
	search := v.Catalog.Searches[q.Search]
	f.mu.Lock()
	defer f.mu.Unlock()
	tracker := f.known()
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
	plan.Options = terms(search, tracker.Reserve(now, q.Search, len(plan.Shards)))
	return plan, true
}

func terms(search *catalog.Search, pace health.Reservation) fanout.Options {
	t := fanout.Options{
		Aim:              search.Aim,
		Minimum:          search.Minimum,
		Allowance:        pace.Allowance,
		ExpectedDuration: pace.ExpectedDuration,
	}
	if search.Hedge {
		t.HedgeAfter = pace.HedgeAfter
	}
	return t
}

// refund gives back what a query has not used of its allowance.
func (f *fleet) refund(search unit.SearchName, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known().Refund(search, n)
}

// sent takes the start of an attempt.
func (f *fleet) sent(now time.Time, call endpoint.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known().RecordSent(now, call.Attempt.Endpoint)
}

// ended takes the end of an attempt that was begun at that time.
func (f *fleet) ended(now, began time.Time, call endpoint.Call, code unit.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known().RecordResult(now, health.Result{
		Search:   call.Query.Search,
		Endpoint: call.Attempt.Endpoint,
		Snapshot: call.Attempt.Snapshot,
		Code:     code,
		Took:     now.Sub(began),
	})
}

func (f *fleet) known() *health.Tracker {
	if f.tracker == nil {
		f.tracker = health.New()
	}
	return f.tracker
}
