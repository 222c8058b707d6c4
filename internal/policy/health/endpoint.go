package health

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// ejectAfter is how many failures in a row eject an endpoint.
	ejectAfter = 3
	// ejectFirst is the time of a first ejection; each further one doubles it, up to ejectMax.
	ejectFirst = time.Second
	ejectMax   = 30 * time.Second
	// readmitAfter is how many successes in a row end the probation that follows an ejection.
	readmitAfter = 3
	// lackFirst is how long an endpoint is first taken to lack a snapshot; each further refusal doubles it, up to
	// lackMax.
	lackFirst = time.Second
	lackMax   = 30 * time.Second
	// maxLacks bounds the snapshots that are kept for one endpoint.
	maxLacks = 8
	// refusedRatio is the ratio to the usual latency that a refusal counts as, and refusedLeast its least.
	refusedRatio = 4
	refusedLeast = 10 * time.Millisecond
	// latencyWeight is the weight of a new latency in the mean.
	latencyWeight = 0.2
	// forgetHalf is the time in which a mean latency without new samples moves half the way back to the usual one.
	forgetHalf = 2 * time.Second
)

// endpointState is what is known of one endpoint from the ends of this entry VM's own attempts.
type endpointState struct {
	busy    int
	used    time.Time
	latency time.Duration
	sampled time.Time
	// failures and successes are counted in a row.
	failures  int
	successes int
	// ejections is above 0 from the first ejection until the endpoint is readmitted.
	ejections int
	until     time.Time
	lacks     map[unit.SnapshotID]lack
}

// lack says that an endpoint does not hold a snapshot.
type lack struct {
	until time.Time
	times int
}

// succeeded takes a whole reply.
func (e *endpointState) succeeded(now time.Time, snapshot unit.SnapshotID, took time.Duration) {
	e.sample(now, took)
	delete(e.lacks, snapshot)
	e.failures = 0
	if e.ejections == 0 || now.Before(e.until) {
		return
	}
	e.successes++
	if e.successes >= readmitAfter {
		e.ejections = 0
	}
}

// failed takes a failure that the endpoint is to blame for.
func (e *endpointState) failed(now time.Time) {
	e.successes = 0
	e.failures++
	onProbation := e.ejections > 0 && !now.Before(e.until)
	if e.failures >= ejectAfter || onProbation {
		e.eject(now)
	}
}

// refused takes a refusal before the attempt ran. It counts as a slow reply, since the quickest refusal would otherwise
// make a full endpoint look like the best one; it is no failure, since load is not the endpoint's fault.
func (e *endpointState) refused(now time.Time, usual time.Duration) {
	e.sampled = now
	e.latency = max(e.latency, refusedLeast, refusedRatio*usual)
}

// eject has the endpoint asked last for a while.
func (e *endpointState) eject(now time.Time) {
	if now.Before(e.until) {
		return
	}
	e.until = now.Add(doubled(ejectFirst, e.ejections, ejectMax))
	e.ejections++
	e.successes = 0
	e.failures = 0
}

// ejected says whether the endpoint is to be asked last. On probation it takes one attempt at a time.
func (e *endpointState) ejected(now time.Time) bool {
	if e.ejections == 0 {
		return false
	}
	return now.Before(e.until) || e.busy > 0
}

// lacking takes a refusal of a snapshot.
func (e *endpointState) lacking(now time.Time, snapshot unit.SnapshotID) {
	if e.lacks == nil || len(e.lacks) >= maxLacks {
		e.lacks = make(map[unit.SnapshotID]lack)
	}
	l := e.lacks[snapshot]
	if now.Before(l.until) {
		return
	}
	e.lacks[snapshot] = lack{until: now.Add(doubled(lackFirst, l.times, lackMax)), times: l.times + 1}
}

// lacked lists the snapshots that the endpoint is taken to lack.
func (e *endpointState) lacked(now time.Time) []unit.SnapshotID {
	var all []unit.SnapshotID
	for id, l := range e.lacks {
		if now.Before(l.until) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// sample takes a latency.
func (e *endpointState) sample(now time.Time, took time.Duration) {
	e.sampled = now
	if e.latency == 0 {
		e.latency = took
		return
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
}

// atLeast takes an attempt that was given up after took.
func (e *endpointState) atLeast(now time.Time, took time.Duration) {
	if took > e.latency {
		e.sample(now, took)
	}
}

// expected gives the mean latency. That of a slow endpoint fades back to the usual one, or to 0 while that is not
// known, so that the endpoint is tried again.
func (e *endpointState) expected(now time.Time, usual time.Duration) time.Duration {
	if e.latency <= usual {
		return e.latency
	}
	halves := now.Sub(e.sampled).Seconds() / forgetHalf.Seconds()
	return usual + time.Duration(float64(e.latency-usual)*math.Exp2(-max(0, halves)))
}

// doubtful says whether the endpoint has failed and has not been readmitted since.
func (e *endpointState) doubtful() bool {
	return e.failures > 0 || e.ejections > 0
}

// doubled gives first doubled n times, and at most limit.
func doubled(first time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if first >= limit {
			return limit
		}
		first *= 2
	}
	return min(first, limit)
}
