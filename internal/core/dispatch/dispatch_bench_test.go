package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/routing"
)

// BenchmarkSearch measures a search over n shards with three endpoints each, which reply at once: decisions, merge
// and bookkeeping without connections.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{20, 40, 160} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster()
			route := *c.route
			route.Shards = nil
			endpoints := make(map[unit.ServiceName][]directory.Endpoint)
			for i := range n {
				s := unit.ServiceName(fmt.Sprintf("%03d", i))
				route.Shards = append(route.Shards, s)
				for r := range 3 {
					id := unit.EndpointID(fmt.Sprintf("%s-%d", s, r))
					e := directory.Registration{ID: id, Service: s, Address: unit.Address(id), Centre: "z", Slots: 2}
					endpoints[s] = append(endpoints[s], directory.Endpoint{Registration: e})
				}
			}
			table := routing.NewTable(1, []*routing.Route{&route}, nil, routing.Limits{})
			c.vms[0].Views.Publish(&discovery.View{Table: table, Endpoints: endpoints, VMs: 1})
			b.ReportAllocs()
			for b.Loop() {
				q := &Request{ID: "r", Host: "h", Method: "GET", URI: "/x", Path: "/x", Arrived: time.Now()}
				if got := c.vms[0].Serve(context.Background(), q); got.Code != unit.CodeWhole {
					b.Fatal(got.Code)
				}
			}
		})
	}
}
