package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/process"
	"basilspan/internal/core/control"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/query"
	"basilspan/internal/core/route"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
)

// TestOnlyDirectRefusalReportsLeaving sends an attempt through the owner of its endpoint. A refusal marks the endpoint
// as leaving only if this VM has called the endpoint itself, since the view of another owner may be of an earlier
// incarnation of the endpoint.
func TestOnlyDirectRefusalReportsLeaving(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	tests := []struct {
		name  string
		owner unit.NodeID
		signs int
	}{
		{"this VM is the owner", "e1", 1},
		{"another VM is the owner", "e2", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, err := New(process.Settings{Node: "e1", Centre: "here", Route: ownership.ModeOwner}, Options{
				Now: time.Now, Log: slog.New(slog.DiscardHandler),
			})
			assert.NilError(t, err)
			f := kernel.NewFinder(e.kernel)
			loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
			views := kernel.Lookup[*view.Store](f, kernel.ServiceViews)
			router := kernel.Lookup[*route.Router](f, kernel.ServiceRoute)
			runner := kernel.Lookup[*query.Runner](f, kernel.ServiceQuery)
			assert.NilError(t, f.Err())
			known := catalog.Endpoint{ID: "a1", Shard: "a", Address: unit.Address(server.Listener.Addr().String()), Slots: 1}
			search := &catalog.Search{Name: "s", Endpoints: []catalog.Endpoint{known}}
			views.Publish(&view.View{
				At:      time.Now(),
				Catalog: &catalog.Catalog{Searches: map[unit.SearchName]*catalog.Search{"s": search}},
				Members: []member.Member{{ID: tt.owner, State: member.StateLive, Peer: "10.0.0.2:1"}},
			})
			router.CallPeer = func(_ context.Context, _ unit.Address, _ peer.Method, _, result any) error {
				return json.Unmarshal([]byte(`{"code": 212}`), result)
			}
			signs := make(chan control.EndpointLeaving, 2)
			kernel.On(loop, func(_ time.Time, event control.EndpointLeaving) { signs <- event })
			done := make(chan struct{})
			kernel.On(loop, func(time.Time, barrier) { close(done) })
			service := loop.Service("loop")
			assert.NilError(t, service.Start(context.Background()))
			reply := runner.Send(context.Background(), endpoint.Call{
				Query:   fanout.Query{ID: "q", Search: "s", Deadline: time.Now().Add(30 * time.Second)},
				Attempt: fanout.Attempt{ID: 1, Shard: "a", Endpoint: "a1", Snapshot: 1},
				Address: known.Address,
			})
			assert.Equal(t, reply.Code, unit.CodeDraining)
			assert.NilError(t, kernel.Post(context.Background(), loop, barrier{}))
			<-done
			assert.Equal(t, len(signs), tt.signs)
			assert.NilError(t, service.Close())
		})
	}
}

// barrier is an event whose handling shows that all events posted before it have been handled.
type barrier struct{}
