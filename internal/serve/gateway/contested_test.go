package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/shard"
)

// TestForeignRegistrations guards against registrations of services that no table names, at the addresses of endpoints,
// which took those out of service; and against requests that run at an endpoint which has taken an address over.
func TestForeignRegistrations(t *testing.T) {
	tests := []struct {
		name string
		// register runs before the gateway starts, after the endpoints have registered.
		register func(f *fixture)
		// services is added to the services of the table that is published once the gateway runs.
		services string
		want     int
		// runs is how many of ten requests the endpoints of a run.
		runs int
	}{
		{"another writer, at all addresses", func(f *fixture) {
			for i, id := range []string{"a0", "a1"} {
				f.store.Put(fmt.Sprint("servers/x", i), f.foreign(f.endpoints[id].Address()))
			}
		}, "", 200, 10},
		{"an endpoint that has taken an address over", func(f *fixture) {
			x := f.endpoints["x0"]
			f.store.Put("servers/a0", f.endpoints["a0"].RegistrationAt(x.Address(), "ready"))
			f.store.Put("servers/x0", x.Registration("ready"))
		}, "", 200, 10},
		{"the service is named later", func(f *fixture) {
			for i, id := range []string{"a0", "a1"} {
				f.store.Put(fmt.Sprint("servers/x", i), f.foreign(f.endpoints[id].Address()))
			}
		}, `,{"name":"x"}`, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.endpoints["x0"] = shard.New("x", "x0", record("x1"))
			tt.register(f)
			f.start()
			f.version++
			f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"one","host":"h","prefix":"/one/",
				"route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"a","max_attempts":2}],
				"services":[{"name":"a"}%s],"limits":{}}`, f.version, tt.services))
			f.await(func() bool { return int(f.gateway.views.Load().Table.Version) == f.version })
			for i := range 10 {
				assert.Equal(t, f.request("GET", "/one/x", fmt.Sprint("r", i), "").status, tt.want)
			}
			assert.Equal(t, len(f.endpoints["a0"].Runs())+len(f.endpoints["a1"].Runs()), tt.runs)
			assert.Equal(t, len(f.endpoints["x0"].Runs()), 0)
		})
	}
}

// foreign returns a registration of the service x at an address.
func (f *fixture) foreign(address string) string {
	return f.endpoints["x0"].RegistrationAt(address, "ready")
}
