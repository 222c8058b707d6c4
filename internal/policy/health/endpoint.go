package health

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// ejectAfterFailures is how many failures in a row eject an endpoint.
	ejectAfterFailures = 3
	// initialEjection is the time of a first ejection; each further one doubles it, up to ejectMax.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// readmitAfterSuccesses is how many successes in a row end the probation that follows an ejection.
	readmitAfterSuccesses = 3
	// initialMissingTime is how long an endpoint is first taken to lack a snapshot; each further refusal doubles it, up to
	// lackMax.
	initialMissingTime = time.Second
	maxMissingTime     = 30 * time.Second
	// maxMissingSnapshots bounds the snapshots that are kept for one endpoint.
	maxMissingSnapshots = 8
	// refusedLatencyRatio is the ratio to the usual latency that a refusal counts as, and refusedLeast its least.
	refusedLatencyRatio = 4
	minRefusedLatency   = 10 * time.Millisecond
	// latencyWeight is the weight of a new latency in the mean.
	latencyWeight = 0.2
	// slownessHalfLife is the time in which a mean latency without new samples moves half the way back to the usual one.
	slownessHalfLife = 2 * time.Second
)

// endpointState is what is known of one endpoint from the ends of this entry VM's own attempts.
type endpointState struct {
	openAttempts int
	lastUsed     time.Time
	latency      time.Duration
	lastSample   time.Time
	// failures and successes are counted in a row.
	failures  int
	successes int
	// ejections is above 0 from the first ejection until the endpoint is readmitted.
	ejections    int
	ejectedUntil time.Time
	missing      map[unit.SnapshotID]missingSnapshot
}

// missingSnapshot says that an endpoint does not hold a snapshot.
type missingSnapshot struct {
	until time.Time
	count int
}

// recordSuccess takes a whole reply.
func (e *endpointState) recordSuccess(now time.Time, snapshot unit.SnapshotID, took time.Duration) {
	e.addSample(now, took)
	delete(e.missing, snapshot)
	e.failures = 0
	if e.ejections == 0 || now.Before(e.ejectedUntil) {
		return
	}
	e.successes++
	if e.successes >= readmitAfterSuccesses {
		e.ejections = 0
	}
}

// recordFailure takes a failure that the endpoint is to blame for.
func (e *endpointState) recordFailure(now time.Time) {
	e.successes = 0
	e.failures++
	onProbation := e.ejections > 0 && !now.Before(e.ejectedUntil)
	if e.failures >= ejectAfterFailures || onProbation {
		e.eject(now)
	}
}

// recordRefusal takes a refusal before the attempt ran. It counts as a slow reply, since the quickest refusal would otherwise
// make a full endpoint look like the best one; it is no failure, since load is not the endpoint's fault.
func (e *endpointState) recordRefusal(now time.Time, typical time.Duration) {
	e.lastSample = now
	e.latency = max(e.latency, minRefusedLatency, refusedLatencyRatio*typical)
}

// eject has the endpoint asked last for a while.
func (e *endpointState) eject(now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(backoff(initialEjection, e.ejections, maxEjection))
	e.ejections++
	e.successes = 0
	e.failures = 0
}

// isEjected says whether the endpoint is to be asked last. On probation it takes one attempt at a time.
func (e *endpointState) isEjected(now time.Time) bool {
	if e.ejections == 0 {
		return false
	}
	return now.Before(e.ejectedUntil) || e.openAttempts > 0
}

// recordMissing takes a refusal of a snapshot.
func (e *endpointState) recordMissing(now time.Time, snapshot unit.SnapshotID) {
	if e.missing == nil || len(e.missing) >= maxMissingSnapshots {
		e.missing = make(map[unit.SnapshotID]missingSnapshot)
	}
	l := e.missing[snapshot]
	if now.Before(l.until) {
		return
	}
	e.missing[snapshot] = missingSnapshot{until: now.Add(backoff(initialMissingTime, l.count, maxMissingTime)), count: l.count + 1}
}

// missingSnapshots lists the snapshots that the endpoint is taken to lack.
func (e *endpointState) missingSnapshots(now time.Time) []unit.SnapshotID {
	var all []unit.SnapshotID
	for id, l := range e.missing {
		if now.Before(l.until) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// addSample takes a latency.
func (e *endpointState) addSample(now time.Time, took time.Duration) {
	e.lastSample = now
	if e.latency == 0 {
		e.latency = took
		return
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
}

// addLowerBound takes an attempt that was given up after took.
func (e *endpointState) addLowerBound(now time.Time, took time.Duration) {
	if took > e.latency {
		e.addSample(now, took)
	}
}

// expectedLatency gives the mean latency. That of a slow endpoint fades back to the usual one, or to 0 while that is not
// known, so that the endpoint is tried again.
func (e *endpointState) expectedLatency(now time.Time, typical time.Duration) time.Duration {
	if e.latency <= typical {
		return e.latency
	}
	halfLives := now.Sub(e.lastSample).Seconds() / slownessHalfLife.Seconds()
	return typical + time.Duration(float64(e.latency-typical)*math.Exp2(-max(0, halfLives)))
}

// isFailing says whether the endpoint has failed and has not been readmitted since.
func (e *endpointState) isFailing() bool {
	return e.failures > 0 || e.ejections > 0
}

// backoff gives first doubled n times, and at most limit.
func backoff(first time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if first >= limit {
			return limit
		}
		first *= 2
	}
	return min(first, limit)
}
