package admit

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// waitGrace is how long a wait that this VM has met is believed as it was.
	waitGrace = 100 * time.Millisecond
	// waitMemory is how long a wait is believed at most, or for as long as the wait itself, up to maxWaitMemory: the queue
	// takes that long to empty.
	waitMemory    = time.Second
	maxWaitMemory = 5 * time.Second
	// waitSamples is how many samples of this VM's own a wait is drawn from.
	waitSamples = 4
	// minWaitSamples is how many of them are needed: one slow endpoint says little of the others.
	minWaitSamples = 3
	// sameSample is how far apart in time a sample of another VM may seem when it is told twice.
	sameSample = 50 * time.Millisecond
	// roundingTolerance keeps a share that is a decimal fraction from being rounded up to one shard more.
	roundingTolerance = 1e-9
)

// AskPeriod is the time after which a VM under pressure asks others again.
const AskPeriod = 40 * time.Millisecond

// Waits holds how long requests wait at the endpoints of each service, from this VM's own requests and from the word of
// the VMs that serve portions. What it knows is at most waitMemory old. It is not safe for concurrent use.
type Waits struct {
	services map[unit.ServiceName]*serviceWait
}

// serviceWait is what is known of one service.
type serviceWait struct {
	// samples are the last waits that requests of this VM have met, in no order.
	samples [waitSamples]wait
	// told is the word of another VM.
	told wait
}

// newest returns the newest sample.
func (s *serviceWait) newest() wait {
	return slices.MaxFunc(s.samples[:], func(a, b wait) int { return a.at.Compare(b.at) })
}

// wait is a wait and when it was known; the zero value is none.
type wait struct {
	time time.Duration
	at   time.Time
}

// isOld reports whether the wait is none or no longer believed.
func (w wait) isOld(now time.Time) bool {
	return w.at.IsZero() || now.Sub(w.at) >= min(max(w.time, waitMemory), maxWaitMemory)
}

// Sample records the wait that a request of this VM to a service has met.
func (w *Waits) Sample(now time.Time, service unit.ServiceName, d time.Duration) {
	s := w.service(service)
	oldest := 0
	for i, known := range s.samples {
		if known.at.Before(s.samples[oldest].at) {
			oldest = i
		}
	}
	if !now.Before(s.samples[oldest].at) {
		s.samples[oldest] = wait{d, now}
	}
}

// AddSample records the wait that a request of another VM has met at a time. A sample that is known counts once.
func (w *Waits) AddSample(at time.Time, service unit.ServiceName, d time.Duration) {
	for _, known := range w.service(service).samples {
		if known.time == d && known.at.Sub(at).Abs() < sameSample {
			return
		}
	}
	w.Sample(at, service, d)
}

// Newest returns the wait that the newest sample of a service tells at now, and the age of the sample; ok is false if there
// is none that is believed.
func (w *Waits) Newest(now time.Time, service unit.ServiceName) (d, age time.Duration, ok bool) {
	s := w.services[service]
	if s == nil {
		return 0, 0, false
	}
	newest := s.newest()
	return newest.time, now.Sub(newest.at), !newest.isOld(now)
}

// Learn takes over what another VM knows of a service.
func (w *Waits) Learn(now time.Time, service unit.ServiceName, d time.Duration) {
	if d == 0 && w.services[service] == nil {
		return
	}
	w.service(service).told = wait{d, now}
}

// service returns the state of a service, which it creates if there is none.
func (w *Waits) service(name unit.ServiceName) *serviceWait {
	if w.services == nil {
		w.services = make(map[unit.ServiceName]*serviceWait)
	}
	s := w.services[name]
	if s == nil {
		s = &serviceWait{}
		w.services[name] = s
	}
	return s
}

// Expected returns how long a request to a service is expected to wait, 0 if nothing recent is known: the newer one of what
// this VM has met and what another one has said. The word of another VM loses its weight evenly, since that VM goes on
// hearing of requests while this one does not.
func (w *Waits) Expected(now time.Time, service unit.ServiceName) time.Duration {
	s := w.services[service]
	if s == nil {
		return 0
	}
	if s.told.at.After(s.newest().at) {
		if s.told.isOld(now) {
			return 0
		}
		return time.Duration(max(0, 1-now.Sub(s.told.at).Seconds()/waitMemory.Seconds()) * float64(s.told.time))
	}
	return s.own(now)
}

// Own returns how long a request to a service is expected to wait by what this VM has met itself, which is what it tells
// others.
func (w *Waits) Own(now time.Time, service unit.ServiceName) time.Duration {
	s := w.services[service]
	if s == nil {
		return 0
	}
	return s.own(now)
}

// own returns the shortest of the last waits, 0 if there are too few: while one endpoint of a service has room, requests find
// it, and those that waited at a slow or paused one say little. The wait shrinks as the queue would if nothing were added,
// since each reply brings a new one.
func (s *serviceWait) own(now time.Time) time.Duration {
	newest := s.newest()
	if newest.isOld(now) {
		return 0
	}
	shortest, n := newest.time, 0
	for _, w := range s.samples {
		if !w.isOld(now) {
			shortest = min(shortest, w.time)
			n++
		}
	}
	if n < minWaitSamples {
		return 0
	}
	return max(0, shortest-max(0, now.Sub(newest.at)-waitGrace))
}

// ExpectedAnswer returns how long a request that goes to all of the services is expected to wait until a share of them has
// replied, which is enough for its answer.
func (w *Waits) ExpectedAnswer(now time.Time, services []unit.ServiceName, share unit.Share) time.Duration {
	spare := len(services) - int(math.Ceil(float64(share)*float64(len(services))-roundingTolerance))
	var all []time.Duration
	for _, s := range services {
		if d := w.Expected(now, s); d > 0 {
			all = append(all, d)
		}
	}
	if len(all) <= spare {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-1-spare]
}

// Longest returns the longest wait of all services and how old that word is; both are 0 if there is none.
func (w *Waits) Longest(now time.Time) (longest, age time.Duration) {
	for name, s := range w.services {
		if d := w.Expected(now, name); d > longest {
			at := s.newest().at
			if s.told.at.After(at) {
				at = s.told.at
			}
			longest, age = d, now.Sub(at)
		}
	}
	return longest, age
}

// Forget removes the services of which nothing recent is known.
func (w *Waits) Forget(now time.Time) {
	for name, s := range w.services {
		if s.told.isOld(now) && s.newest().isOld(now) {
			delete(w.services, name)
		}
	}
}
