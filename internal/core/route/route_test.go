package route

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
)

// newViewStore returns a store whose view has live members with these ids and one configured endpoint.
func newViewStore(ids ...unit.NodeID) *view.Store {
	e := catalog.Endpoint{ID: "s0a", Shard: "s0", Slots: 2, Connections: 25}
	store := view.NewStore()
	v := &view.View{Catalog: &catalog.Catalog{
		Ranks:    map[unit.RankName]catalog.Rank{"desk": {Name: "desk", Urgency: 1}},
		Searches: map[unit.SearchName]*catalog.Search{"plain": {Name: "plain", Endpoints: []catalog.Endpoint{e}}},
	}}
	for _, id := range ids {
		v.Members = append(v.Members, member.Member{ID: id, Peer: unit.Address(id), State: member.StateLive})
	}
	store.Publish(v)
	return store
}

// newCall returns a call of the configured endpoint with that timeout.
func newCall(once bool, timeout time.Duration) endpoint.Call {
	return endpoint.Call{
		Query:   fanout.Query{ID: "q", Search: "plain", Rank: "desk", Once: once, Deadline: time.Now().Add(timeout)},
		Attempt: fanout.Attempt{ID: 1, Shard: "s0", Endpoint: "s0a", Snapshot: 1},
	}
}

// TestCallThroughOwner checks that an attempt is repeated directly when the owner did not run it, or was lost and the
// request is idempotent. Running a request twice that must run at most once is the failure that it guards against.
func TestCallThroughOwner(t *testing.T) {
	notSent := errors.Mark(errors.New("refused"), peer.ErrNotSent)
	lost := errors.New("the connection closed")
	tests := []struct {
		name   string
		once   bool
		err    error
		reply  unit.Code
		want   unit.Code
		direct int64
	}{
		{"answered", false, nil, unit.CodeWhole, unit.CodeWhole, 0},
		{"the endpoint refused", false, nil, unit.CodeRefused, unit.CodeRefused, 0},
		{"the owner's queue refused", true, nil, unit.CodeTooLate, unit.CodeTooLate, 0},
		{"the owner is stopping", true, nil, unit.CodeStopping, unit.CodeWhole, 1},
		{"not sent", false, notSent, 0, unit.CodeWhole, 1},
		{"not sent, once only", true, notSent, 0, unit.CodeWhole, 1},
		{"connection lost after sending", false, lost, 0, unit.CodeWhole, 1},
		{"connection lost after sending, once only", true, lost, 0, unit.CodeOwnerLost, 0},
		{"unknown outcome at the endpoint, once only", true, nil, unit.CodeConnection, unit.CodeConnection, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var direct atomic.Int64
			r := &Router{
				Now: time.Now, Self: "self", Views: newViewStore("owner"), Metrics: metric.NewSet(),
				settings: Settings{Mode: ownership.ModeOwner, Extra: 1},
				CallEndpoint: func(context.Context, endpoint.Call) fanout.Reply {
					direct.Add(1)
					return fanout.Reply{Attempt: 1, Code: unit.CodeWhole}
				},
				CallPeer: func(_ context.Context, _ unit.Address, _ peer.Method, _, result any) error {
					result.(*wireReply).Code = int(tt.reply)
					return tt.err
				},
			}
			reply := r.Send(context.Background(), newCall(tt.once, time.Minute))
			assert.Equal(t, reply.Code, tt.want)
			assert.Equal(t, direct.Load(), tt.direct)
		})
	}
}

// TestSilentOwner checks calls through an owner that never replies: an idempotent call is made directly once the
// owner is suspected, and a once-only call waits until its deadline and ends with an unknown outcome.
func TestSilentOwner(t *testing.T) {
	tests := []struct {
		name    string
		once    bool
		timeout time.Duration
		want    unit.Code
		direct  int64
	}{
		{"idempotent", false, time.Minute, unit.CodeWhole, 1},
		{"once only", true, 500 * time.Millisecond, unit.CodeDeadline, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var direct atomic.Int64
			r := &Router{
				Now: time.Now, Self: "self", Views: newViewStore("owner"), Metrics: metric.NewSet(),
				settings: Settings{Mode: ownership.ModeOwner, Extra: 1}, quit: make(chan struct{}),
				CallEndpoint: func(context.Context, endpoint.Call) fanout.Reply {
					direct.Add(1)
					return fanout.Reply{Attempt: 1, Code: unit.CodeWhole}
				},
				CallPeer: func(ctx context.Context, _ unit.Address, _ peer.Method, _, _ any) error {
					<-ctx.Done()
					return ctx.Err()
				},
			}
			assert.NilError(t, r.start(context.Background()))
			ctx, cancel := context.WithTimeout(context.Background(), tt.timeout)
			defer cancel()
			reply := r.Send(ctx, newCall(tt.once, tt.timeout))
			assert.Equal(t, reply.Code, tt.want)
			assert.Equal(t, direct.Load(), tt.direct)
			assert.NilError(t, r.close())
		})
	}
}

// TestHandleLeaf checks the attempts that other VMs forward to this one. It rejects them according to its own view,
// and keeps to nonOwnerCeiling when it considers another VM the owner.
func TestHandleLeaf(t *testing.T) {
	tests := []struct {
		name    string
		members []unit.NodeID
		change  func(w *wireLeaf)
		leaving bool
		// maxInFlight is the maximum number of concurrent calls of the endpoint.
		maxInFlight int64
		want        unit.Code
	}{
		{"as the owner", []unit.NodeID{"self"}, func(*wireLeaf) {}, false, 3, unit.CodeWhole},
		{"as a non-owner", []unit.NodeID{"other"}, func(*wireLeaf) {}, false, 1, unit.CodeWhole},
		{"past deadline", []unit.NodeID{"self"}, func(w *wireLeaf) { w.RemainingMicros = 0 }, false, 0, unit.CodeTooLate},
		{"leaving endpoint", []unit.NodeID{"self"}, func(*wireLeaf) {}, true, 0, unit.CodeDraining},
		{"unknown endpoint", []unit.NodeID{"self"}, func(w *wireLeaf) { w.Endpoint = "x" }, false, 0, unit.CodeNoConfig},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var inFlight, most atomic.Int64
			r := &Router{
				Now: time.Now, Self: "self", Views: newViewStore(tt.members...), Metrics: metric.NewSet(),
				settings: Settings{Mode: ownership.ModeOwner, Extra: 1},
				CallEndpoint: func(context.Context, endpoint.Call) fanout.Reply {
					storeMax(&most, inFlight.Add(1))
					time.Sleep(2 * time.Millisecond)
					inFlight.Add(-1)
					return fanout.Reply{Attempt: 1, Code: unit.CodeWhole}
				},
			}
			if tt.leaving {
				r.Views.Load().Leaving = map[unit.EndpointID]bool{"s0a": true}
			}
			codes := make(chan unit.Code, 60)
			for range cap(codes) {
				go func() {
					w := encodeCall(time.Now(), newCall(false, time.Minute))
					tt.change(&w)
					reply, err := r.handleLeaf(context.Background(), w)
					assert.Check(t, err)
					codes <- unit.Code(reply.Code)
				}()
			}
			for range cap(codes) {
				assert.Equal(t, <-codes, tt.want)
			}
			assert.Assert(t, most.Load() <= tt.maxInFlight, "%d concurrent calls", most.Load())
		})
	}
}

// storeMax raises most to n if n is larger.
func storeMax(most *atomic.Int64, n int64) {
	for m := most.Load(); n > m; m = most.Load() {
		if most.CompareAndSwap(m, n) {
			return
		}
	}
}
