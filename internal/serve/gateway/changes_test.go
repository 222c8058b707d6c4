package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
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

// TestRegistryRestored guards against missing what is published under a restored registry's lower revisions.
func TestRegistryRestored(t *testing.T) {
	drain := func(f *fixture) { f.store.Put("servers/a0", f.endpoints["a0"].Registration("draining")) }
	remove := func(f *fixture) { f.store.Delete("servers/a0") }
	publish := func(f *fixture) { f.publish(`"/two/"`) }
	tests := []struct {
		name string
		// before is done after the copy was made, away while the registry is away, and after when it is back. nil does
		// nothing.
		before, away, after func(f *fixture)
		// path is the path that must be served by the endpoints in want.
		path string
		want []unit.EndpointID
	}{
		{name: "nothing changes", path: "/one/x", want: []unit.EndpointID{"a0", "a1"}},
		{name: "an endpoint was leaving", before: drain, path: "/one/x", want: []unit.EndpointID{"a1"}},
		{name: "an endpoint was leaving and has gone", before: func(f *fixture) {
			drain(f)
			remove(f)
		}, path: "/one/x", want: []unit.EndpointID{"a1"}},
		{name: "an endpoint leaves", after: drain, path: "/one/x", want: []unit.EndpointID{"a1"}},
		{name: "an endpoint ends", after: remove, path: "/one/x", want: []unit.EndpointID{"a1"}},
		{name: "an endpoint leaves, and the revisions catch up", away: func(f *fixture) {
			drain(f)
			f.raiseRevision(3 * restoredChanges)
		}, path: "/one/x", want: []unit.EndpointID{"a1"}},
		{name: "a table was published", before: publish, path: "/two/x", want: []unit.EndpointID{"a0", "a1"}},
		{name: "a table was published, and is again", before: publish, after: func(f *fixture) {
			f.version--
			publish(f)
		}, path: "/two/x", want: []unit.EndpointID{"a0", "a1"}},
		{name: "a table is published", after: publish, path: "/two/x", want: []unit.EndpointID{"a0", "a1"}},
		{name: "a table is published, and the revisions catch up", away: func(f *fixture) {
			publish(f)
			f.raiseRevision(3 * restoredChanges)
		}, path: "/two/x", want: []unit.EndpointID{"a0", "a1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			do := func(f *fixture, step func(f *fixture)) {
				if step != nil {
					step(f)
				}
			}
			f := newFixture(t).start()
			copied := f.store.Copy()
			do(f, tt.before)
			f.raiseRevision(restoredChanges)
			f.awaitRevision()
			f.store.SetFault(registry.Fault503)
			f.store.Restore(copied)
			do(f, tt.away)
			f.store.SetFault(registry.FaultNone)
			f.await(func() bool { return strings.Count(f.log.String(), `"endpoints listed"`) > 1 })
			do(f, tt.after)
			f.await(func() bool {
				var usable []unit.EndpointID
				for _, e := range f.gateway.views.Load().Endpoints["a"] {
					if !e.Lapsed {
						usable = append(usable, e.ID)
					}
				}
				slices.Sort(usable)
				return slices.Equal(usable, tt.want)
			})
			f.await(func() bool { return f.request("GET", tt.path, "r", "").status == 200 })
		})
	}
}

// restoredChanges is the number of changes between the copy and the restore.
const restoredChanges = 20

// raiseRevision makes n changes that mean nothing to the gateway.
func (f *fixture) raiseRevision(n int) {
	for range n {
		f.store.Put("servers/unused", "x")
	}
}

// awaitRevision waits until the gateway has seen all changes of endpoints and of the table so far. They are read apart.
func (f *fixture) awaitRevision() {
	f.t.Helper()
	f.await(func() bool {
		v := f.gateway.views.Load()
		return uint64(v.EndpointsRevision) == f.store.Revision() && int(v.Table.Version) == f.version
	})
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
