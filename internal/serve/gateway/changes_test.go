package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

// TestStartsWithoutRegistry checks that a VM that starts during a registry outage rejects requests with a Retry-After
// header, and serves once the registry is back.
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
			f := newFixture(t)
			f.publish(`"/one/"`)
			f.store.SetFault(tt.fault)
			f.startGateway()
			assert.Assert(t, !f.gateway.Ready())
			got := f.request("GET", "/one/x", "r1", "")
			assert.Equal(t, got.status, 503)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			f.store.SetFault(registry.FaultNone)
			f.await(func() bool { return f.gateway.Ready() })
			assert.Equal(t, f.request("GET", "/one/x", "r2", "").status, 200)
		})
	}
}

// TestRoutingTableChanges checks that a published table comes into force, also after the registry has lost its history,
// was unavailable or held an unreadable table, and that an older table never does.
func TestRoutingTableChanges(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fixture)
		// path is the path that must be served after the change.
		path string
	}{
		{"a new table", func(f *fixture) { f.publish(`"/two/"`) }, "/two/x"},
		{"a new table after lost history", func(f *fixture) {
			f.store.Compact()
			f.publish(`"/two/"`)
			f.store.Compact()
		}, "/two/x"},
		{"a new table during an outage", func(f *fixture) {
			f.store.SetFault(registry.Fault503)
			f.publish(`"/two/"`)
			f.store.SetFault(registry.FaultNone)
		}, "/two/x"},
		{"an unreadable table before a readable one", func(f *fixture) {
			f.store.Put("op/config", `{"version":"x"`)
			f.publish(`"/two/"`)
		}, "/two/x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			tt.setup(f)
			f.await(func() bool { return f.request("GET", tt.path, "r1", "").status == 200 })
			f.version = 0
			f.publish(`"/one/"`)
			f.endpoints["a0"].SetMode(shard.ModeServe)
			f.store.Put("op/config-other", "x")
			f.version = 100
			f.publish(`"/three/"`)
			f.await(func() bool { return f.request("GET", "/three/x", "r2", "").status == 200 })
			assert.Equal(t, f.request("GET", "/one/x", "r3", "").status, 404)
		})
	}
}

// TestLeavingEndpointGetsNoRequests checks that an endpoint gets no new request once its registration says that it is
// draining, is deleted or cannot be read.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fixture)
	}{
		{"leaving", func(f *fixture) { f.store.Put("servers/a0", f.endpoints["a0"].Registration("draining")) }},
		{"gone", func(f *fixture) { f.store.Delete("servers/a0") }},
		{"replaced by an unreadable registration", func(f *fixture) { f.store.Put("servers/a0", "x") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			f.setMode(shard.ModeReject, "a1")
			assert.Equal(t, f.request("GET", "/one/x", "r0", "").status, 200)
			f.setMode(shard.ModeServe, "a1")
			tt.setup(f)
			f.await(func() bool {
				all := f.gateway.views.Load().Endpoints["a"]
				return len(all) == 1 || all[0].Lapsed || all[1].Lapsed
			})
			before := len(f.endpoints["a0"].Runs())
			for i := range 10 {
				assert.Equal(t, f.request("GET", "/one/x", fmt.Sprint("r", i), "").status, 200)
			}
			assert.Equal(t, len(f.endpoints["a0"].Runs()), before)
		})
	}
}
