package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOddTablesEndNoProcess guards against a routing table with odd values that ends the process or its answers.
func TestOddTablesEndNoProcess(t *testing.T) {
	const (
		single = `"name":"odd","host":"h","prefix":"/odd/","route_kind":"idempotent","timeout_ms":2000,` +
			`"target_latency_ms":1000,"service":"a"`
		gather = `"name":"odd","host":"h","prefix":"/odd/","route_kind":"idempotent","timeout_ms":2000,` +
			`"target_latency_ms":1000,"gather":["a","b","c"],"min_success_share":0.6,"top_k":4`
		split = `"name":"odd","host":"h","prefix":"/odd/","route_kind":"idempotent","timeout_ms":2000,` +
			`"target_latency_ms":1000,"max_attempts":2,`
	)
	tests := []struct {
		name  string
		route string
		// want is the status of a request on the route.
		want int
	}{
		{"huge max_attempts", single + `,"max_attempts":9223372036854775807`, 200},
		{"negative max_attempts", single + `,"max_attempts":-9223372036854775808`, 200},
		{"huge max_attempts of a gathered route", gather + `,"max_attempts":9223372036854775807`, 200},
		{"huge top_k", gather + `,"max_attempts":2,"top_k":9223372036854775807`, 200},
		{"large top_k", gather + `,"max_attempts":2,"top_k":1000000000000`, 200},
		{"negative top_k", gather + `,"max_attempts":2,"top_k":-1`, 200},
		{"huge min_success_share", gather + `,"max_attempts":2,"min_success_share":1e300`, 200},
		{"negative min_success_share", gather + `,"max_attempts":2,"min_success_share":-1e300`, 200},
		{"huge times", single + `,"max_attempts":2,"timeout_ms":1e300,"target_latency_ms":1e300`, 200},
		{"huge negative times", single + `,"max_attempts":2,"timeout_ms":-1e300,"target_latency_ms":-1e300`, 503},
		{"huge priority", single + `,"max_attempts":2,"priority":9223372036854775807`, 200},
		{"no service", split + `"traffic_split":[]`, 503},
		{
			"weights beyond their sum",
			split + `"traffic_split":[{"service":"a","weight":1e308},{"service":"a","weight":1e308}]`, 200,
		},
		{"negative weights", split + `"traffic_split":[{"service":"a","weight":-1},{"service":"a","weight":-2}]`, 200},
		{
			"two routes of one name", split + `"traffic_split":[{"service":"a","weight":1},{"service":"a","weight":1}]},
			{"name":"odd","host":"h","prefix":"/odd/longer/","route_kind":"idempotent","timeout_ms":2000,"max_attempts":2,
			"traffic_split":[{"service":"a","weight":1},{"service":"a","weight":1},{"service":"a","weight":1}]`, 200,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			f.version++
			f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{%s}],"services":[]}`, f.version, tt.route))
			f.await(func() bool { return int(f.gateway.views.Load().Table.Version) == f.version })
			for i := range 4 {
				for _, path := range []string{"/odd/x", "/odd/longer/x"} {
					assert.Equal(t, f.request("GET", path, fmt.Sprint("r", i), "").status, tt.want)
				}
			}
			f.publish(`"/one/"`)
			f.await(func() bool { return f.request("GET", "/one/x", "next", "").status == 200 })
		})
	}
}
