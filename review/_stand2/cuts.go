package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cuts"] = cuts }

const (
	// drain is the bound of the settings after which a leaf that is draining or gone gets nothing more.
	drain = 3 * time.Second
	// cutTime is how long a watch waits at the store until it is cut.
	cutTime = 700 * time.Millisecond
)

// cuts has the store cut watches that wait. A leaf that never reports draining leaves: its entry is removed, and it serves
// on for some seconds.
func cuts(w *world, trouble bool) bool {
	var leafs []*leaf
	for i := range 3 {
		l := w.newLeaf("orders", fmt.Sprintf("i-%d", i))
		l.onCall = func(c *call) bool {
			time.Sleep(20 * time.Millisecond)
			return c.reply(200, "done") == nil
		}
		l.register("ready")
		leafs = append(leafs, l)
	}
	w.publish(11, []route{{
		"name": "q", "host": "shop.example", "prefix": "/q/", "route_kind": "idempotent", "timeout_ms": 1000,
		"target_latency_ms": 200, "priority": 0, "service": "orders", "max_attempts": 2,
	}, {
		"name": "u", "host": "shop.example", "prefix": "/u/", "route_kind": "non_idempotent", "timeout_ms": 1000,
		"target_latency_ms": 200, "priority": 0, "service": "orders", "max_attempts": 2,
	}}, []string{"orders"}, nil)
	var cut atomic.Int64
	var nodes []*node
	for i := range 2 {
		p := w.newProxy(w.store.Address())
		if trouble {
			p.onInput = func(c *pair, b []byte) {
				if bytes.Contains(b, []byte("GET /api/kv-watch")) {
					c.cutAfter(cutTime, func() { cut.Add(1); w.rec.printf("store cuts a watch of machine %d", i+1) })
				}
			}
			p.onOutput = func(c *pair, _ []byte) { c.keep() }
		}
		nodes = append(nodes, w.newNode(i+1, map[string]string{"platform.address": p.address()}))
	}
	for _, n := range nodes {
		n.fields["seeds"] = nodes[0].control + "," + nodes[1].control
		n.start()
	}
	for _, n := range nodes {
		n.awaitReady(10 * time.Second)
	}
	start := time.Now()
	var asks sync.WaitGroup
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for i, n := range nodes {
		asking.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				path := []string{"/q/a", "/u/a"}[k%2]
				id := fmt.Sprintf("%x%06x", i+1, k)
				asks.Go(func() {
					a := ask(n.front, "POST", "shop.example", path, id, 1000, []byte("x"), 2*time.Second)
					w.rec.printf("%s answers %s %s: status %d %v", n.name, id, path, a.status, a.err)
				})
			}
		})
	}
	time.Sleep(5*time.Second - time.Since(start))
	gone := leafs[0]
	w.store.Delete("servers/" + gone.id)
	acked := time.Now()
	w.rec.printf("store acknowledges that leaf %s is gone", gone.id)
	time.Sleep(10 * time.Second)
	close(stop)
	asking.Wait()
	asks.Wait()
	late := 0
	gone.mu.Lock()
	for _, k := range gone.runs {
		if after := k.at.Sub(acked); after > drain {
			late++
			w.rec.printf("DRAIN: request %s reached leaf %s %.3f s after it was acknowledged as gone", k.id, gone.id, after.Seconds())
		}
	}
	gone.mu.Unlock()
	fmt.Println("watches cut:", cut.Load(), "requests that reached the leaf too late:", late)
	return late > 0
}
