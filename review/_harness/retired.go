package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// retiredExit is for how long the leaf that leaves serves after its removal was acknowledged.
	retiredExit = drainTime + 250*time.Millisecond
	// slowFactor is how many times as long the requests of the slow leaf take.
	slowFactor = 8
	slowBefore = 500 * time.Millisecond
	crashAfter = drainTime + 150*time.Millisecond
	// otherLeafs is the number of leafs of another service, which nothing disturbs.
	otherLeafs = 6
	// retiredPeriod is the mean time between two requests of all callers.
	retiredPeriod = 80 * time.Millisecond
)

// runRetired removes one of the two leafs of a service as planned, without the state draining. The other leaf is slow and
// crashes with requests in progress. It checks DRAIN at the leaf that was removed.
func runRetired(r *run) bool {
	var slow atomic.Bool
	work := func() time.Duration { return time.Duration(60+rand.IntN(60)) * time.Millisecond }
	stays := r.startLeaf(&leaf{id: "i-stays", service: "archive", slots: 3, queue: 12, work: func() time.Duration {
		if slow.Load() {
			return slowFactor * work()
		}
		return work()
	}})
	leaves := r.startLeaf(&leaf{id: "i-leaves", service: "archive", slots: 3, queue: 12, work: work})
	for i := range otherLeafs {
		r.startLeaf(&leaf{id: fmt.Sprintf("i-other-%d", i+1), service: "other", slots: 3, queue: 12, work: work})
	}
	r.publish([]map[string]any{{
		"name": "fetch", "host": hostName, "prefix": "/fetch/", "route_kind": "idempotent", "timeout_ms": 2000,
		"target_latency_ms": 800, "priority": 2, "service": "archive", "max_attempts": 2,
	}}, []map[string]any{service("archive", 39), service("other", 39)})
	r.startVMs(3)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(retiredPeriod))):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("fetch-%d", n)
				a := r.call(r.vms[n%len(r.vms)], "GET", "/fetch/"+id, id, "", 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				statuses[id] = a.status
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	if r.trouble {
		slow.Store(true)
		r.note("leaf %s becomes slow", stays.id)
	}
	time.Sleep(slowBefore)
	leaves.unregister()
	removed := time.Now()
	time.Sleep(crashAfter)
	if r.trouble {
		stays.close()
		r.note("leaf %s crashes", stays.id)
	}
	time.Sleep(time.Until(removed.Add(retiredExit)))
	leaves.close()
	r.note("leaf %s exits", leaves.id)
	close(stop)
	wg.Wait()
	late, lost := 0, 0
	for _, a := range leaves.received() {
		after := a.at.Sub(removed)
		if after <= drainTime || !a.ran {
			continue
		}
		late++
		if statuses[a.id] != 200 {
			lost++
		}
		r.note("DRAIN: %s reached leaf %s %.3f s after its removal was acknowledged, its caller got status %d",
			a.id, leaves.id, after.Seconds(), statuses[a.id])
	}
	summary := fmt.Sprintf("%d requests, %d reached the leaf that had left later than %v after the acknowledgement, %d of them "+
		"were lost", len(statuses), late, drainTime, lost)
	r.note("%s", summary)
	fmt.Println(summary)
	return late == 0
}
