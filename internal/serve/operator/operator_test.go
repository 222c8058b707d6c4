package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"

	"basilspan/internal/config/process"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ejectedFunc is the seam for the endpoints that are asked last.
type ejectedFunc = func(now time.Time, search unit.SearchName, id unit.EndpointID) bool

// startServer starts the port with a view; state and drained may be changed by the test.
func startServer(t *testing.T, settings process.Settings, state *string, drained *atomic.Int64, ejected ejectedFunc) *Server {
	t.Helper()
	hlog.SetOutput(io.Discard)
	views := view.NewStore()
	views.Publish(testView())
	now := func() time.Time { return start.Add(5 * time.Second) }
	s := New("e1", "127.0.0.1:0", now, func() string { return *state }, func() { drained.Add(1) })
	s.Ejected = ejected
	k := kernel.New()
	for _, service := range []kernel.Service{
		{Name: kernel.ServiceSettings, Value: settings},
		{Name: kernel.ServiceViews, Value: views},
		{Name: kernel.ServiceMetrics, Value: metric.NewSet()},
		{Name: kernel.ServiceQuery, Value: &query.Runner{}},
		{Name: kernel.ServiceTrace, Value: &trace.Recorder{}},
	} {
		assert.NilError(t, k.Register(service))
	}
	assert.NilError(t, s.Install(k))
	assert.NilError(t, k.Start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, k.Close()) })
	return s
}

// testView is a view with an endpoint for each reason to get no work.
func testView() *view.View {
	e := func(id unit.EndpointID, shard unit.ShardID) catalog.Endpoint {
		return catalog.Endpoint{ID: id, Shard: shard, Address: "10.0.0.1:80", Slots: 1, Connections: 1}
	}
	configured := e("b", "s0")
	configured.Leaving = true
	return &view.View{
		At: start.Add(4 * time.Second), InForceSince: start, Revision: 7, RefusedRevision: 8, Problem: "10.json:1: bad",
		Members: []member.Member{{ID: "e2", Centre: "amman", Peer: "10.0.0.2:8082", State: member.StateLive}},
		Leaving: map[unit.EndpointID]bool{"b": true, "c": true},
		Catalog: &catalog.Catalog{Searches: map[unit.SearchName]*catalog.Search{"find": {
			Name: "find",
			Snapshots: []catalog.Snapshot{
				{ID: 1, Shards: []unit.ShardID{"s9"}}, {ID: 2, Shards: []unit.ShardID{"s0"}},
			},
			Endpoints: []catalog.Endpoint{e("a", "s0"), configured, e("c", "s0"), e("d", "s9"), e("e", "s0")},
		}}},
	}
}

func TestStatusIdleReasons(t *testing.T) {
	var drained atomic.Int64
	state := StateReady
	s := startServer(t, process.Settings{}, &state, &drained, func(_ time.Time, _ unit.SearchName, id unit.EndpointID) bool {
		return id == "e"
	})
	var w wireStatus
	get(t, s, "/status", &w)
	assert.Equal(t, w.Node, "e1")
	assert.Equal(t, w.State, StateReady)
	assert.Equal(t, w.Revision, uint64(7))
	assert.Equal(t, w.RevisionAge, int64(5000))
	assert.Equal(t, w.ViewAge, int64(1000))
	assert.Equal(t, w.RefusedRevision, uint64(8))
	assert.Equal(t, w.Problem, "10.json:1: bad")
	assert.DeepEqual(t, w.Members, []wireMember{{"e2", "amman", "10.0.0.2:8082", "live"}})
	tests := []struct {
		id   string
		idle string
	}{
		{"a", ""},
		{"b", idleConfigured},
		{"c", idleReported},
		{"d", idleNotInSnapshot},
		{"e", idleEjected},
	}
	assert.Equal(t, len(w.Endpoints), len(tests))
	for i, tt := range tests {
		assert.Equal(t, w.Endpoints[i].ID, tt.id)
		assert.Equal(t, w.Endpoints[i].IdleReason, tt.idle)
	}
	var config wireConfig
	get(t, s, "/config", &config)
	assert.Equal(t, config.Revision, uint64(7))
	assert.Assert(t, len(config.Values) > 0)
}

// TestPaths checks the status of each path, with and without profiles and before and after readiness.
func TestPaths(t *testing.T) {
	tests := []struct {
		name   string
		pprof  bool
		state  string
		method string
		path   string
		want   int
		drains int64
	}{
		{"ready", false, StateReady, http.MethodGet, "/ready", http.StatusOK, 0},
		{"not ready", false, "draining", http.MethodGet, "/ready", http.StatusServiceUnavailable, 0},
		{"metrics", false, StateReady, http.MethodGet, "/debug/vars", http.StatusOK, 0},
		{"status with the query service's ejections", false, StateReady, http.MethodGet, "/status", http.StatusOK, 0},
		{"profiles are off", false, StateReady, http.MethodGet, "/debug/pprof/", http.StatusNotFound, 0},
		{"profiles are on", true, StateReady, http.MethodGet, "/debug/pprof/", http.StatusOK, 0},
		{"a profile", true, StateReady, http.MethodGet, "/debug/pprof/heap", http.StatusOK, 0},
		{"a stop", false, StateReady, http.MethodPost, "/drain", http.StatusAccepted, 1},
		{"a look is no stop", false, StateReady, http.MethodGet, "/drain", http.StatusNotFound, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var drained atomic.Int64
			s := startServer(t, process.Settings{Pprof: tt.pprof}, &tt.state, &drained, nil)
			req, err := http.NewRequest(tt.method, "http://"+string(s.Address())+tt.path, nil)
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, tt.want)
			assert.Equal(t, drained.Load(), tt.drains)
		})
	}
}

func get(t *testing.T, s *Server, path string, into any) {
	t.Helper()
	resp, err := http.Get("http://" + string(s.Address()) + path)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(into))
}
