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

// sender stands before the calls of endpoints: it lets none out on a view that is too old or to an endpoint that is
// leaving, and hands on the sign of an endpoint that refuses because it is leaving.
type sender struct {
	now     func() time.Time
	views   *view.Store
	metrics *metric.Set
	// send makes the call, and leaving takes a sign. It is nil where the reply may be another entry VM's, whose view may
	// be of an earlier life of the endpoint.
	send          func(ctx context.Context, call endpoint.Call) fanout.Reply
	reportLeaving func(ctx context.Context, sign leaving.Sign)
}

// Send makes one attempt and waits for its end.
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

// findEndpoint gives an endpoint as the view has it.
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
