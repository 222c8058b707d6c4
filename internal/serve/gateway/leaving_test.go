package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

// TestServerLeaving guards against requests that reach an endpoint after it has said in a reply that it is leaving.
func TestServerLeaving(t *testing.T) {
	tests := []struct {
		name string
		mode shard.Mode
		// before and after run before the endpoint says that it is leaving, and once the VM knows.
		before, after func(f *fixture)
		// used reports whether the endpoint gets requests again.
		used bool
	}{
		{name: "a success", mode: shard.ModeServe},
		{name: "a failure", mode: shard.ModeFail},
		{name: "a 503", mode: shard.ModeBusy},
		{name: "a 503 without a run", mode: shard.ModeReject},
		{name: "a reply that can't be used", mode: shard.ModeUnsigned},
		{
			name: "a reply that breaks off", mode: shard.ModeScript,
			before: func(f *fixture) {
				f.endpoints["a0"].SetScript(shard.Script{
					Text: "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\nServer-Leaving: 1\r\nContent-Length: 9\r\n\r\nab",
				})
			},
		},
		{
			name: "the registry is away", mode: shard.ModeServe,
			before: func(f *fixture) { f.store.SetFault(registry.Fault503) },
		},
		{
			name: "the endpoint registers as ready again", mode: shard.ModeServe,
			after: func(f *fixture) { f.register("a0") },
		},
		{
			name: "the endpoint starts again", mode: shard.ModeServe, used: true,
			after: func(f *fixture) {
				f.endpoints["a0"].Restart(time.UnixMilli(2))
				f.register("a0")
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoints["a0"].Born = time.UnixMilli(1)
			f.store.Put("servers/a0", f.endpoints["a0"].Registration("ready"))
			f.start()
			if tt.before != nil {
				tt.before(f)
			}
			f.endpoints["a0"].SetLeaving(true)
			f.setMode(tt.mode, "a0")
			// Every request is retried at a0, and later ones find no other endpoint.
			f.setMode(shard.ModeReject, "a1")
			f.await(func() bool {
				r := f.request("GET", "/one/x", "w", "")
				assert.Equal(t, r.header.Get("Server-Leaving"), "")
				return strings.Contains(f.log.String(), `"msg":"endpoint leaving","node":"n1","endpoint":"a0"`)
			})
			f.setMode(shard.ModeServe, "a0")
			if tt.after != nil {
				tt.after(f)
			}
			before := len(f.endpoints["a0"].Arrivals())
			for i := range 20 {
				f.request("GET", "/one/x", fmt.Sprint("r", i), "")
			}
			assert.Equal(t, len(f.endpoints["a0"].Arrivals()) > before, tt.used)
		})
	}
}

// TestAllLeaving guards against requests that reach leaving endpoints as a last resort after a part of the drain time.
func TestAllLeaving(t *testing.T) {
	tests := []struct {
		name    string
		leaving []string
		path    string
		want    int
	}{
		{"a service", []string{"a0", "a1"}, "/one/x", 503},
		{"a service of requests that may run once", []string{"a0", "a1"}, "/once/x", 503},
		{"one shard", []string{"a0", "a1"}, "/all/x", 200},
		{"too many shards", []string{"a0", "a1", "b0", "b1"}, "/all/x", 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			for _, id := range tt.leaving {
				f.endpoints[id].SetLeaving(true)
			}
			f.await(func() bool {
				f.request("GET", tt.path, "w", "")
				return strings.Count(f.log.String(), `"msg":"endpoint leaving"`) == len(tt.leaving)
			})
			// A quarter of the default drain time is 500 ms.
			time.Sleep(600 * time.Millisecond)
			before := len(f.endpoints["a0"].Arrivals()) + len(f.endpoints["a1"].Arrivals())
			assert.Equal(t, f.request("GET", tt.path, "r1", "").status, tt.want)
			assert.Equal(t, len(f.endpoints["a0"].Arrivals())+len(f.endpoints["a1"].Arrivals()), before)
		})
	}
}

// register registers an endpoint as ready, with a change, and waits until the VM knows.
func (f *fixture) register(id string) {
	f.t.Helper()
	e := f.endpoints[id]
	revision := f.gateway.views.Load().EndpointsRevision
	f.store.Put(e.Key(), strings.Replace(e.Registration("ready"), `"v1"`, `"v2"`, 1))
	f.await(func() bool { return f.gateway.views.Load().EndpointsRevision > revision })
}
