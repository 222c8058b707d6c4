package health

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// ejectAfterFailures is the number of failures in a row after which an endpoint is ejected.
	ejectAfterFailures = 3
	// initialEjection is how long an endpoint's first ejection lasts. The time doubles with each further one, up to
	// maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// readmitAfterSuccesses is the number of successes in a row that end the probation after an ejection.
	readmitAfterSuccesses = 3
	// initialMissingTime is how long an endpoint is assumed to lack a snapshot after it has first refused it. The
	// time doubles with each further refusal, up to maxMissingTime.
	initialMissingTime = time.Second
	maxMissingTime     = 30 * time.Second
	// maxMissingSnapshots is how many missing snapshots are recorded for one endpoint. When one more is added, the
	// others are dropped.
	maxMissingSnapshots = 8
	// A refusal counts as a latency of refusedLatencyRatio times the typical one, and at least minRefusedLatency.
	refusedLatencyRatio = 4
	minRefusedLatency   = 10 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// slownessHalfLife is the time in which the average latency of a slow endpoint without new samples decays half
	// the way to the typical one.
	slownessHalfLife = 2 * time.Second
)

// endpointState is the state of one endpoint, as seen by this entry VM's own attempts.
type endpointState struct {
	openAttempts int
	lastUsed     time.Time
	latency      time.Duration
	lastSample   time.Time
	// failures and successes are each counted in a row.
	failures  int
	successes int
	// ejections counts the ejections since the endpoint was last readmitted.
	ejections    int
	ejectedUntil time.Time
	missing      map[unit.SnapshotID]missingSnapshot
}

// missingSnapshot records that an endpoint is assumed to lack a snapshot until a time, and how many times this was
// set.
type missingSnapshot struct {
	until time.Time
	count int
}

// recordSuccess records a complete, valid reply. It ends a run of failures, and the probation after an ejection once
// there have been readmitAfterSuccesses in a row. Successes while the ejection lasts don't count for that.
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

// recordFailure records a failure that is the endpoint's fault. It ejects the endpoint after ejectAfterFailures in a
// row, or at once during the probation after an ejection.
func (e *endpointState) recordFailure(now time.Time) {
	e.successes = 0
	e.failures++
	onProbation := e.ejections > 0 && !now.Before(e.ejectedUntil)
	if e.failures >= ejectAfterFailures || onProbation {
		e.eject(now)
	}
}

// recordRefusal records that the endpoint refused an attempt before it ran. The refusal counts as a slow reply,
// because otherwise a full endpoint that refuses at once would look like the fastest one. It is not a failure,
// because the load is not the endpoint's fault.
func (e *endpointState) recordRefusal(now time.Time, typical time.Duration) {
	e.lastSample = now
	e.latency = max(e.latency, minRefusedLatency, refusedLatencyRatio*typical)
}

// eject ejects the endpoint, so that it is chosen last for a while. It does nothing while an ejection is in force.
func (e *endpointState) eject(now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(backoff(initialEjection, e.ejections, maxEjection))
	e.ejections++
	e.successes = 0
	e.failures = 0
}

// isEjected reports whether the endpoint should be chosen only after all others. That is the case during an ejection,
// and on probation while an attempt is open, so that an endpoint on probation gets one attempt at a time.
func (e *endpointState) isEjected(now time.Time) bool {
	if e.ejections == 0 {
		return false
	}
	return now.Before(e.ejectedUntil) || e.openAttempts > 0
}

// recordMissing records that the endpoint refused an attempt because it lacks the snapshot.
func (e *endpointState) recordMissing(now time.Time, snapshot unit.SnapshotID) {
	if e.missing == nil || len(e.missing) >= maxMissingSnapshots {
		e.missing = make(map[unit.SnapshotID]missingSnapshot)
	}
	m := e.missing[snapshot]
	if now.Before(m.until) {
		return
	}
	e.missing[snapshot] = missingSnapshot{
		until: now.Add(backoff(initialMissingTime, m.count, maxMissingTime)),
		count: m.count + 1,
	}
}

// missingSnapshots returns the snapshots that the endpoint is assumed to lack, in ascending order.
func (e *endpointState) missingSnapshots(now time.Time) []unit.SnapshotID {
	var all []unit.SnapshotID
	for id, m := range e.missing {
		if now.Before(m.until) {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// addSample adds a latency to the moving average.
func (e *endpointState) addSample(now time.Time, took time.Duration) {
	e.lastSample = now
	if e.latency == 0 {
		e.latency = took
		return
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
}

// addLowerBound records an attempt that was cancelled after took. It counts as a latency only if it raises the
// average.
func (e *endpointState) addLowerBound(now time.Time, took time.Duration) {
	if took > e.latency {
		e.addSample(now, took)
	}
}

// expectedLatency returns the average latency. If it is above the typical one, it decays towards that, or towards 0
// while that is unknown, so that a slow endpoint is tried again.
func (e *endpointState) expectedLatency(now time.Time, typical time.Duration) time.Duration {
	if e.latency <= typical {
		return e.latency
	}
	halfLives := now.Sub(e.lastSample).Seconds() / slownessHalfLife.Seconds()
	return typical + time.Duration(float64(e.latency-typical)*math.Exp2(-max(0, halfLives)))
}

// isFailing reports whether the endpoint has failed and has not recovered: a success ends a run of failures,
// readmission an ejection.
func (e *endpointState) isFailing() bool {
	return e.failures > 0 || e.ejections > 0
}

// backoff returns first doubled n times, capped at limit.
func backoff(first time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		if first >= limit {
			return limit
		}
		first *= 2
	}
	return min(first, limit)
}
