package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/freshness"
	"basilspan/internal/policy/leaving"
)

// TestSenderChecksTheView checks that no call is sent on a stale view or to a leaving endpoint, and that an endpoint is
// reported as leaving only if it rejected the call itself at its current address.
func TestSenderChecksTheView(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	known := catalog.Endpoint{ID: "a1", Shard: "a", Address: "10.0.0.1:1", Incarnation: 3}
	tests := []struct {
		name    string
		age     time.Duration
		leaving bool
		// address is the address that is called, and reply the endpoint's result code.
		address unit.Address
		reply   unit.Code
		want    unit.Code
		sent    int
		signs   []leaving.Sign
		// viaPeer reports whether the reply comes from another entry VM.
		viaPeer bool
	}{
		{"sent", 0, false, "10.0.0.1:1", unit.CodeWhole, unit.CodeWhole, 1, nil, false},
		{"the view is stale", freshness.MaxAge + 1, false, "10.0.0.1:1", unit.CodeWhole, unit.CodeStaleView, 0, nil, false},
		{"the endpoint is leaving", 0, true, "10.0.0.1:1", unit.CodeWhole, unit.CodeDraining, 0, nil, false},
		{
			"it replies that it is leaving", 0, false, "10.0.0.1:1", unit.CodeDraining, unit.CodeDraining, 1,
			[]leaving.Sign{leaving.SignOf(known)},
			false,
		},
		{"a former address replies so", 0, false, "10.0.0.9:1", unit.CodeDraining, unit.CodeDraining, 1, nil, false},
		{
			"an owner with an earlier view replies so", 0, false, "10.0.0.1:1", unit.CodeDraining, unit.CodeDraining, 1,
			nil, true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			views := view.NewStore()
			views.Publish(&view.View{
				At: now.Add(-tt.age),
				Catalog: &catalog.Catalog{Searches: map[unit.SearchName]*catalog.Search{
					"s": {Endpoints: []catalog.Endpoint{known}},
				}},
				Leaving: map[unit.EndpointID]bool{"a1": tt.leaving},
			})
			sent := 0
			var signs []leaving.Sign
			s := &sender{
				now: func() time.Time { return now }, views: views, metrics: metric.NewSet(),
				send: func(_ context.Context, call endpoint.Call) fanout.Reply {
					sent++
					return fanout.Reply{Attempt: call.Attempt.ID, Code: tt.reply}
				},
				reportLeaving: func(_ context.Context, sign leaving.Sign) { signs = append(signs, sign) },
			}
			if tt.viaPeer {
				s.reportLeaving = nil
			}
			reply := s.Send(context.Background(), endpoint.Call{
				Query:   fanout.Query{Search: "s"},
				Attempt: fanout.Attempt{ID: 1, Endpoint: "a1"},
				Address: tt.address,
			})
			assert.Equal(t, reply.Code, tt.want)
			assert.Equal(t, sent, tt.sent)
			assert.DeepEqual(t, signs, tt.signs)
		})
	}
}
