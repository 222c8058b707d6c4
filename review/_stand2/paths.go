package main

import (
	"fmt"
	"time"
)

func init() { cases["paths"] = paths }

// paths has clients ask for paths that begin with two slashes, on a route for all paths of its host.
func paths(w *world, trouble bool) bool {
	var leafs []*leaf
	for i := range 2 {
		l := w.newLeaf("orders", fmt.Sprintf("i-%d", i))
		l.register("ready")
		leafs = append(leafs, l)
	}
	routeOf := func(host, kind string) route {
		return route{
			"name": host, "host": host, "prefix": "/", "route_kind": kind, "timeout_ms": 1000, "target_latency_ms": 200,
			"priority": 0, "service": "orders", "max_attempts": 2,
		}
	}
	w.publish(11, []route{routeOf("safe.example", "idempotent"), routeOf("once.example", "non_idempotent")},
		[]string{"orders"}, nil)
	n := w.newNode(1, nil)
	n.start()
	n.awaitReady(10 * time.Second)
	changed := 0
	for i, path := range []string{"orders/7", "orders//7?q=1", ""} {
		for _, host := range []string{"safe.example", "once.example"} {
			for _, method := range []string{"GET", "POST"} {
				path := "/" + path
				if trouble {
					path = "/" + path
				}
				id := fmt.Sprintf("%s%d%s", method, i, host[:4])
				a := ask(n.front, method, host, path, id, 1000, nil, 2*time.Second)
				w.rec.printf("client sends %s %s %s to %s: status %d %v", id, method, path, host, a.status, a.err)
				for _, l := range leafs {
					for _, k := range l.runsOf(id) {
						if k.method != method || k.target != path {
							changed++
							w.rec.printf("UNASKED: leaf %s runs %s as %s %s, which was sent as %s %s", l.id, id, k.method, k.target, method, path)
						}
					}
				}
			}
		}
	}
	fmt.Println("requests run with another path:", changed)
	return changed > 0
}
