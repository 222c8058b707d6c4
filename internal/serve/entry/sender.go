package entry

import (
	"context"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/leaving"
)

// sender checks the view before each call of an endpoint. It sends no call on a stale view or to a leaving endpoint,
// and reports an endpoint that rejects a call because it is leaving. An entry VM has two: that of addQuery passes an
// attempt to the router, and that of addRouter sends it to the endpoint itself.
type sender struct {
	now     func() time.Time
	views   *view.Store
	metrics *metric.Set
	// send makes the call.
	send func(ctx context.Context, call endpoint.Call) fanout.Reply
	// reportLeaving reports that the endpoint is leaving. It is nil where the reply may come from another entry VM,
	// whose view may be of an earlier incarnation of the endpoint.
	reportLeaving func(ctx context.Context, sign leaving.Sign)
}

// Send makes one attempt and waits for its reply. If the view is stale, it first waits up to view.MaxWait for a fresh
// one, and returns CodeStaleView without sending if none comes. It returns CodeDraining without sending if the view
// lists the endpoint as leaving. If the endpoint itself replies with CodeDraining, Send passes that to reportLeaving.
func (s *sender) Send(ctx context.Context, call endpoint.Call) fanout.Reply {
	v, ok := s.views.AwaitFresh(ctx, s.now)
	id := call.Attempt.Endpoint
	switch {
	case !ok:
		s.metrics.Add("send.stale", 1)
		return fanout.Reply{Attempt: call.Attempt.ID, Code: unit.CodeStaleView}
	case v.Leaving[id]:
		s.metrics.Add("send.leaving", 1)
		return fanout.Reply{Attempt: call.Attempt.ID, Code: unit.CodeDraining}
	}
	reply := s.send(ctx, call)
	if reply.Code == unit.CodeDraining && s.reportLeaving != nil {
		if e, ok := findEndpoint(v, call.Query.Search, id); ok && e.Address == call.Address {
			s.reportLeaving(context.WithoutCancel(ctx), leaving.SignOf(e))
		}
	}
	return reply
}

// findEndpoint returns an endpoint of a search as listed in the view. It returns false if the view does not list it.
func findEndpoint(v *view.View, search unit.SearchName, id unit.EndpointID) (catalog.Endpoint, bool) {
	if v.Catalog == nil || v.Catalog.Searches[search] == nil {
		return catalog.Endpoint{}, false
	}
	for _, e := range v.Catalog.Searches[search].Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return catalog.Endpoint{}, false
}
