package query

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// sendFunc is the type of Runner.Send.
type sendFunc = func(ctx context.Context, call endpoint.Call) fanout.Reply

// newRunner returns a runner of a search over the shards "a" and "b" with two endpoints each.
func newRunner(now func() time.Time, send sendFunc) *Runner {
	search := &catalog.Search{Name: "s", Hedge: true, Snapshots: []catalog.Snapshot{
		{ID: 1, Shards: []unit.ShardID{"a", "b"}},
		{ID: 2, Shards: []unit.ShardID{"a", "b"}},
	}}
	for _, id := range []unit.EndpointID{"a1", "a2", "b1", "b2"} {
		search.Endpoints = append(search.Endpoints, catalog.Endpoint{ID: id, Shard: unit.ShardID(id[:1])})
	}
	views := view.NewStore()
	views.Publish(&view.View{At: now(), Revision: 1, Catalog: &catalog.Catalog{
		Ranks:    map[unit.RankName]catalog.Rank{"r": {Name: "r", Urgency: 1}},
		Searches: map[unit.SearchName]*catalog.Search{"s": search},
	}})
	return &Runner{Now: now, Views: views, Metrics: metric.NewSet(), Send: send}
}

// newQuery returns a query for the search of newRunner.
func newQuery(timeout time.Duration) fanout.Query {
	return fanout.Query{ID: "q", Search: "s", Rank: "r", Deadline: time.Now().Add(timeout)}
}

// wholeReply returns a successful reply to an attempt.
func wholeReply(call endpoint.Call) fanout.Reply {
	a := call.Attempt
	return fanout.Reply{Attempt: a.ID, Code: unit.CodeWhole, Snapshot: a.Snapshot, Shard: a.Shard}
}

// replyAtEnd waits for ctx to end and returns a reply with that code.
func replyAtEnd(ctx context.Context, call endpoint.Call, code unit.Code) fanout.Reply {
	<-ctx.Done()
	return fanout.Reply{Attempt: call.Attempt.ID, Code: code}
}

// slowClock returns a clock that runs 1000 times too slowly, so that the short wait for cancelled attempts is long
// enough on a slow machine too.
func slowClock() func() time.Time {
	began := time.Now()
	return func() time.Time { return began.Add(time.Since(began) / 1000) }
}

// TestRun checks the answer of a query whose attempts succeed, hang, are never sent or lose their connection.
func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		send    sendFunc
		code    unit.Code
		missing int
	}{
		{
			"whole", 30 * time.Second,
			func(_ context.Context, call endpoint.Call) fanout.Reply { return wholeReply(call) },
			unit.CodeWhole, 0,
		},
		{
			"one shard does not reply", 50 * time.Millisecond,
			func(ctx context.Context, call endpoint.Call) fanout.Reply {
				if call.Attempt.Shard == "a" {
					return replyAtEnd(ctx, call, unit.CodeCancelled)
				}
				return wholeReply(call)
			}, unit.CodePartial, 1,
		},
		{
			"no attempt gets a connection", 50 * time.Millisecond,
			func(ctx context.Context, call endpoint.Call) fanout.Reply {
				return replyAtEnd(ctx, call, unit.CodeNotSent)
			},
			unit.CodeTooLate, 2,
		},
		{
			"every connection is lost", 30 * time.Second,
			func(_ context.Context, call endpoint.Call) fanout.Reply {
				return fanout.Reply{Attempt: call.Attempt.ID, Code: unit.CodeConnection}
			}, unit.CodeConnection, 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRunner(slowClock(), tt.send)
			answer := r.Run(context.Background(), newQuery(tt.timeout))
			assert.Equal(t, answer.Code, tt.code)
			assert.Equal(t, len(answer.Missing), tt.missing)
			assert.NilError(t, r.Close())
		})
	}
}

// TestCloseWaitsForAttempts guards against leaked goroutines: attempts that end after their query has been answered
// have to end before Close returns.
func TestCloseWaitsForAttempts(t *testing.T) {
	before := runtime.NumGoroutine()
	release := make(chan struct{})
	var ended atomic.Int64
	r := newRunner(time.Now, func(ctx context.Context, call endpoint.Call) fanout.Reply {
		<-ctx.Done()
		<-release
		ended.Add(1)
		return wholeReply(call)
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer := r.Run(ctx, newQuery(100*time.Millisecond))
	assert.Equal(t, answer.Code.Outcome(), unit.OutcomeUnknown)
	closed := make(chan struct{})
	go func() {
		_ = r.Close()
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("Close returned while attempts were running")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	<-closed
	assert.Equal(t, ended.Load(), int64(2))
	// A goroutine may still be counted for a moment after its function has returned.
	for range 1000 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d goroutines are left, %d before the test", runtime.NumGoroutine(), before)
}

// TestRunPastDeadline checks that nothing is sent after the deadline, when the clock passes it between the admission of a
// query and its first attempt.
func TestRunPastDeadline(t *testing.T) {
	var late atomic.Bool
	now := func() time.Time {
		if late.Load() {
			return time.Now().Add(time.Hour)
		}
		return time.Now()
	}
	var sent atomic.Int64
	r := newRunner(now, func(_ context.Context, call endpoint.Call) fanout.Reply {
		sent.Add(1)
		return wholeReply(call)
	})
	m := fanout.New(newQuery(time.Minute), fanout.Plan{Snapshot: 1, Shards: []fanout.Shard{
		{ID: "a", Replicas: []unit.EndpointID{"a1"}},
	}})
	late.Store(true)
	answer := r.drive(context.Background(), m, newDriver(r, newQuery(time.Minute), &catalog.Search{}, 2), nil)
	assert.Equal(t, answer.Code, unit.CodeTooLate)
	assert.Equal(t, sent.Load(), int64(0))
}

// TestRunHedges checks that attempts are hedged when one replica stops replying after its usual latency is known.
func TestRunHedges(t *testing.T) {
	var silent atomic.Value
	silent.Store(unit.EndpointID(""))
	r := newRunner(time.Now, func(ctx context.Context, call endpoint.Call) fanout.Reply {
		if call.Attempt.Endpoint == silent.Load() {
			return replyAtEnd(ctx, call, unit.CodeCancelled)
		}
		time.Sleep(time.Millisecond)
		return wholeReply(call)
	})
	for range 60 {
		assert.Equal(t, r.Run(context.Background(), newQuery(time.Minute)).Code, unit.CodeWhole)
	}
	for _, id := range []unit.EndpointID{"a1", "a2"} {
		silent.Store(id)
		for range 3 {
			assert.Equal(t, r.Run(context.Background(), newQuery(time.Minute)).Code, unit.CodeWhole)
		}
	}
	assert.Assert(t, r.Metrics.Get("fanout.hedges") > 0)
	assert.NilError(t, r.Close())
}

// TestRunWithDrainingShard checks that a shard whose endpoints are both leaving is tried at each of them and then
// reported as missing.
func TestRunWithDrainingShard(t *testing.T) {
	r := newRunner(time.Now, func(_ context.Context, call endpoint.Call) fanout.Reply {
		if call.Attempt.Shard == "a" {
			return fanout.Reply{Attempt: call.Attempt.ID, Code: unit.CodeDraining}
		}
		return wholeReply(call)
	})
	answer := r.Run(context.Background(), newQuery(time.Minute))
	assert.Equal(t, answer.Code, unit.CodePartial)
	assert.Equal(t, answer.Missing[0].Code, unit.CodeDraining)
	assert.Equal(t, answer.Extra.Attempts, 3)
}
