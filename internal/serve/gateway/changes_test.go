package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

// TestStartsWithoutRegistry checks that a VM that knows no routes says that nothing has run, and serves once it does.
func TestStartsWithoutRegistry(t *testing.T) {
	tests := []struct {
		name  string
		fault registry.Fault
	}{
		{"busy", registry.Fault503},
		{"silent", registry.FaultNoResponse},
		{"reset", registry.FaultReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t)
			w.publish(`"/one/"`)
			w.store.SetFault(tt.fault)
			w.startGateway()
			assert.Assert(t, !w.gateway.Ready())
			got := w.request("GET", "/one/x", "r1", "")
			assert.Equal(t, got.status, 503)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			w.store.SetFault(registry.FaultNone)
			w.await(func() bool { return w.gateway.Ready() })
			assert.Equal(t, w.request("GET", "/one/x", "r2", "").status, 200)
		})
	}
}

// TestRoutingTableChanges checks that what is published comes into force, also when the registry loses its history, and that an
// older table never does.
func TestRoutingTableChanges(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *fixture)
		// path is served in the end.
		path string
	}{
		{"a new table", func(w *fixture) { w.publish(`"/two/"`) }, "/two/x"},
		{"a new table after lost history", func(w *fixture) {
			w.store.Compact()
			w.publish(`"/two/"`)
			w.store.Compact()
		}, "/two/x"},
		{"a new table during an outage", func(w *fixture) {
			w.store.SetFault(registry.Fault503)
			w.publish(`"/two/"`)
			w.store.SetFault(registry.FaultNone)
		}, "/two/x"},
		{"a table that cannot be read before one that can", func(w *fixture) {
			w.store.Put("op/config", `{"version":"x"`)
			w.publish(`"/two/"`)
		}, "/two/x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t).start()
			tt.do(w)
			w.await(func() bool { return w.request("GET", tt.path, "r1", "").status == 200 })
			w.version = 0
			w.publish(`"/one/"`)
			w.endpoints["a0"].SetMode(shard.ModeServe)
			w.store.Put("op/config-other", "x")
			w.version = 100
			w.publish(`"/three/"`)
			w.await(func() bool { return w.request("GET", "/three/x", "r2", "").status == 200 })
			assert.Equal(t, w.request("GET", "/one/x", "r3", "").status, 404)
		})
	}
}

// TestLeavingEndpointGetsNoRequests checks that an endpoint that leaves or is gone gets no new request.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *fixture)
	}{
		{"leaving", func(w *fixture) { w.store.Put("servers/a0", w.endpoints["a0"].Registration("draining")) }},
		{"gone", func(w *fixture) { w.store.Delete("servers/a0") }},
		{"replaced by what names no endpoint", func(w *fixture) { w.store.Put("servers/a0", "x") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t).start()
			w.setMode(shard.ModeReject, "a1")
			assert.Equal(t, w.request("GET", "/one/x", "r0", "").status, 200)
			w.setMode(shard.ModeServe, "a1")
			tt.do(w)
			w.await(func() bool {
				all := w.gateway.views.Load().Endpoints["a"]
				return len(all) == 1 || all[0].Lapsed || all[1].Lapsed
			})
			before := len(w.endpoints["a0"].Runs())
			for i := range 10 {
				assert.Equal(t, w.request("GET", "/one/x", fmt.Sprint("r", i), "").status, 200)
			}
			assert.Equal(t, len(w.endpoints["a0"].Runs()), before)
		})
	}
}
