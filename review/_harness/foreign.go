package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// recoveryTime is recovery_s of the settings.
	recoveryTime = 12 * time.Second
	// foreignDown is how long the entry VMs are down.
	foreignDown = time.Second
	// foreignRequests is how many requests are sent before and after the final fault, one each foreignPeriod.
	foreignRequests = 100
	foreignPeriod   = 30 * time.Millisecond
)

// runForeign kills all entry VMs. While they are down, another writer adds entries of a service that no configuration names,
// at the addresses of leafs. It checks RECOVER.
func runForeign(r *run) bool {
	var leafs []*leaf
	for i := range 4 {
		leafs = append(leafs, r.startLeaf(&leaf{
			id: fmt.Sprintf("i-%d", i+1), service: []string{"desk", "track"}[i/2], slots: 2, queue: 12,
			work: func() time.Duration { return 10 * time.Millisecond },
		}))
	}
	var routes []map[string]any
	for _, name := range []string{"desk", "track"} {
		routes = append(routes, map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "route_kind": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 500, "priority": 2, "service": name, "max_attempts": 2,
		})
	}
	r.publish(routes, []map[string]any{service("desk", 39), service("track", 39)})
	r.startVMs(3)
	time.Sleep(2 * time.Second)
	before := r.callMany("before")
	r.restartAll(foreignDown, func() {
		if r.trouble {
			for i, l := range leafs {
				r.putForeign(fmt.Sprintf("other-%d", i+1), l)
			}
		}
	})
	time.Sleep(recoveryTime)
	after := r.callMany("after")
	summary := fmt.Sprintf("served %d of %d before the final fault, and %d of %d later than %v after it",
		before, foreignRequests, after, foreignRequests, recoveryTime)
	r.note("%s", summary)
	fmt.Println(summary)
	if before < foreignRequests/4 {
		panic("too few requests were served before the final fault")
	}
	return after >= foreignRequests/4
}

// putForeign writes an entry of another writer at the address of a leaf.
func (r *run) putForeign(id string, l *leaf) {
	value, err := json.Marshal(map[string]any{
		"service": "not-ours", "address": l.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 2,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	check(err)
	r.store.Put("servers/"+id, strings.TrimSpace(string(value)))
	r.note("another writer puts the entry %s: %s", id, value)
}

// callMany sends requests to all entry VMs and returns how many were served.
func (r *run) callMany(phase string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	served := 0
	for n := range foreignRequests {
		time.Sleep(foreignPeriod)
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, name := fmt.Sprintf("%s-%d", phase, n), []string{"desk", "track"}[n%2]
			a := r.call(r.vms[n%len(r.vms)], "GET", "/"+name+"/"+id, id, "", 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				served++
			}
		}()
	}
	wg.Wait()
	return served
}
