package gateway

import (
	"bufio"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/standin/shard"
)

// TestRetryAfterDeparture guards against retries that reach an endpoint which has left since their request came, so that
// they came after its drain time and were lost at its exit.
func TestRetryAfterDeparture(t *testing.T) {
	tests := []struct {
		name string
		path string
		// change is what happens while the request waits at its first endpoint, a0. The other endpoint is a1.
		change func(f *fixture)
		// left reports whether a1 has left then.
		left bool
		// retried is the endpoint that the retry goes to.
		retried string
	}{
		{"the endpoint has not left", "/one/x", func(*fixture) {}, false, "a1"},
		{"its registration has been missing for the grace period", "/one/x", func(*fixture) {}, true, "a0"},
		{"it reports that it is leaving", "/one/x", func(f *fixture) {
			f.store.Put("servers/a1", f.endpoints["a1"].Registration("draining"))
		}, true, "a0"},
		{"another endpoint takes its address", "/one/x", func(f *fixture) {
			f.store.Put("servers/b9", f.endpoints["b0"].RegistrationAt(f.endpoints["a1"].Address(), "ready"))
		}, true, "a0"},
		{"a shard of a search", "/all/x", func(f *fixture) {
			f.store.Put("servers/a1", f.endpoints["a1"].Registration("draining"))
		}, true, "a0"},
		{"another endpoint has registered", "/one/x", func(f *fixture) {
			f.store.Put("servers/a1", f.endpoints["a1"].Registration("draining"))
			f.endpoints["a2"] = shard.New("a", "a2", record("a1"))
			f.store.Put("servers/a2", f.endpoints["a2"].Registration("ready"))
			f.await(func() bool { return f.known("a", "a2") != nil })
		}, true, "a2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			f.setMode(shard.ModeHang, "a0")
			// The request goes to a0 while the registration of a1 is missing.
			f.store.Delete("servers/a1")
			f.await(func() bool {
				e := f.known("a", "a1")
				return e != nil && e.Lapsed
			})
			c := f.dial()
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r\r\n\r\n", tt.path))
			assert.NilError(t, err)
			f.await(func() bool { return len(f.endpoints["a0"].Runs()) == 1 })
			tt.change(f)
			if tt.left {
				f.await(func() bool { return f.known("a", "a1") == nil })
			}
			before := len(f.endpoints[tt.retried].Runs())
			f.setMode(shard.ModeServe, "a0")
			f.endpoints["a0"].Disconnect()
			assert.Equal(t, f.read(bufio.NewReader(c), "GET").status, 200)
			assert.Equal(t, len(f.endpoints["a1"].Arrivals()) == 0, tt.left)
			assert.Equal(t, len(f.endpoints[tt.retried].Runs()), before+1)
		})
	}
}

// known returns the endpoint of a service that the gateway may send requests to, or nil if there is none with that ID.
func (f *fixture) known(service unit.ServiceName, id unit.EndpointID) *directory.Endpoint {
	for _, e := range f.gateway.views.Load().Endpoints[service] {
		if e.ID == id {
			return &e
		}
	}
	return nil
}
