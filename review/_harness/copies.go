package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// copiesTime and copiesShare bound the disruption: for how long a leaf sends second copies at a time, and of which share of
	// its answers, whatever they are. It comes copiesPeriods times, with copiesPause before each.
	copiesTime    = 5 * time.Second
	copiesShare   = 0.04
	copiesPeriods = 2
	copiesPause   = 2 * time.Second
	// copiesGap is the mean time between two requests of all callers.
	copiesGap = 1200 * time.Microsecond
	// reportLeafs is the number of leafs of another service, which nothing disturbs.
	reportLeafs = 5
)

// runCopies plays callers of requests that must not be repeated at a busy leaf, the last one of its service, which sends late
// second copies of some answers. It checks REFUSED and TWICE.
func runCopies(r *run) bool {
	var mu sync.Mutex
	copying := false
	answers, copied, copiedRejections := 0, 0, 0
	stays := r.startLeaf(&leaf{
		id: "i-stays", service: "orders", slots: 2, queue: 2,
		work: func() time.Duration { return time.Duration(1000+rand.IntN(4000)) * time.Microsecond },
		copies: func(rejected bool) bool {
			mu.Lock()
			defer mu.Unlock()
			if !r.trouble || !copying {
				return false
			}
			answers++
			if rand.Float64() >= copiesShare {
				return false
			}
			copied++
			if rejected {
				copiedRejections++
			}
			return true
		},
	})
	leaves := r.startLeaf(&leaf{id: "i-leaves", service: "orders", slots: 2, queue: 2, work: stays.work})
	for i := range reportLeafs {
		r.startLeaf(&leaf{id: fmt.Sprintf("i-reports-%d", i+1), service: "reports", slots: 2, queue: 2, work: stays.work})
	}
	route := func(name, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": "/" + name + "/", "route_kind": "non_idempotent",
			"timeout_ms": 2000, "target_latency_ms": 800, "priority": 2, "service": service, "max_attempts": attempts,
		}
	}
	r.publish(
		[]map[string]any{route("two", "orders", 2), route("three", "orders", 3), route("reports", "reports", 2)},
		[]map[string]any{service("orders", 39), service("reports", 39)},
	)
	r.startVMs(3)
	leaves.register("draining")
	time.Sleep(drainTime + time.Second)
	leaves.unregister()
	leaves.close()
	r.note("leaf %s exits", leaves.id)
	statuses := make(map[string]int)
	var wg sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range copiesPeriods {
			time.Sleep(copiesPause)
			setLocked(&mu, &copying, true)
			time.Sleep(copiesTime)
			setLocked(&mu, &copying, false)
		}
	}()
	for n, ended := 0, false; !ended; n++ {
		select {
		case <-done:
			ended = true
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(copiesGap))):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
			name := [2]string{"two", "three"}[n%2]
			a := r.call(r.vms[n%len(r.vms)], "POST", "/"+name+"/order", id, "order "+id, 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = a.status
		}()
	}
	wg.Wait()
	// A run that is still to come would begin within this time.
	time.Sleep(2 * time.Second)
	runs := make(map[string]int)
	for _, a := range stays.received() {
		if a.ran {
			runs[a.id]++
		}
	}
	refused, twice, served := 0, 0, 0
	for id, status := range statuses {
		switch {
		case runs[id] > 1:
			twice++
			r.note("TWICE: %s ran %d times, its caller got status %d", id, runs[id], status)
		case runs[id] > 0 && (status == 503 || status == 429 || status == 408 || status == 421):
			refused++
			r.note("REFUSED: %s ran, its caller got status %d", id, status)
		case status == 200:
			served++
		}
	}
	summary := fmt.Sprintf("%d requests, %d served, %d answers while copies were sent, %d copies, %d of them of rejections; "+
		"REFUSED broken by %d, TWICE by %d", len(statuses), served, answers, copied, copiedRejections, refused, twice)
	r.note("%s", summary)
	fmt.Println(summary)
	return refused == 0
}

// setLocked sets a value that a mutex guards.
func setLocked(mu *sync.Mutex, value *bool, to bool) {
	mu.Lock()
	defer mu.Unlock()
	*value = to
}
