package dispatch

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/routing"
)

const (
	// workWeight is the weight of a new sample in the average work of a route, and maxWorkRatio caps it as a ratio to that
	// average, so that slow endpoints don't raise it.
	workWeight   = 1.0 / 16
	maxWorkRatio = 3.0
)

// recordCall learns from the result of a call how long requests wait at the endpoints of its service. Endpoints that
// report no load tell it only by their rejections.
func (a *admission) recordCall(now time.Time, route *routing.Route, to directory.Endpoint, sent time.Time, e leaf.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.Kind != leaf.KindReply || e.Reply.Misdirected {
		return
	}
	work := a.workOf(route.Name)
	load := e.Reply.Load
	switch {
	case load != nil && load.Slots > 0:
		ahead := max(0, load.Running+load.Waiting+1-int(load.Slots))
		if ahead == 0 && !e.Reply.NotExecuted {
			addWork(work, now.Sub(sent))
		}
		wait := float64(ahead) / float64(load.Slots) * float64(work.Mean()) * max(1, load.Slowness)
		a.waits.Sample(now, to.Service, time.Duration(wait))
	case e.Reply.NotExecuted:
		a.waits.Sample(now, to.Service, work.Mean())
	default:
		addWork(work, now.Sub(sent))
		a.waits.Sample(now, to.Service, 0)
	}
}

// workOf returns the average time of a route's calls that find a free slot. The caller holds mu.
func (a *admission) workOf(route unit.RouteName) *rank.Average {
	w := a.work[route]
	if w == nil {
		w = &rank.Average{Weight: workWeight}
		a.work[route] = w
	}
	return w
}

// addWork adds a sample to the average work of a route.
func addWork(w *rank.Average, took time.Duration) {
	if w.Samples() > 0 {
		took = min(took, time.Duration(maxWorkRatio*float64(w.Mean())))
	}
	w.Add(took)
}

// own returns how long requests wait at the endpoints of services by what this VM has met, in their order. It is nil if
// they don't.
func (a *admission) own(now time.Time, services []unit.ServiceName) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []time.Duration
	for i, s := range services {
		if wait := a.waits.Own(now, s); wait > 0 {
			if all == nil {
				all = make([]time.Duration, len(services))
			}
			all[i] = wait
		}
	}
	return all
}

// learn takes over what another VM has met at the endpoints of services; nil means that requests don't wait there.
func (a *admission) learn(now time.Time, services []unit.ServiceName, waits []time.Duration) {
	if waits != nil && len(waits) != len(services) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range services {
		wait := time.Duration(0)
		if waits != nil {
			wait = max(0, waits[i])
		}
		a.waits.Learn(now, s, wait)
	}
}

// newest returns the waits that the newest requests of this VM to services have met, and how long ago, -1 if there is none.
func (a *admission) newest(now time.Time, services []unit.ServiceName) (waits, ages []time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range services {
		wait, age, ok := a.waits.Newest(now, s)
		if !ok {
			wait, age = 0, -time.Microsecond
		}
		waits, ages = append(waits, wait), append(ages, age)
	}
	return waits, ages
}

// learnNewest takes over what the newest requests of another VM to services have met.
func (a *admission) learnNewest(now time.Time, services []unit.ServiceName, waits, ages []time.Duration) {
	if len(waits) != len(services) || len(ages) != len(services) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range services {
		if ages[i] >= 0 && waits[i] >= 0 {
			a.waits.AddSample(now.Add(-ages[i]), s, waits[i])
		}
	}
}

// longest returns the longest wait at the endpoints of any service and how old the word of it is.
func (a *admission) longest() (wait, age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waits.Longest(a.now())
}
