// Package freshness decides whether the control state of an entry VM is fresh enough for traffic to act on.
//
// When a process starts, and whenever its control goroutine has not run for a while, the control state may be out of
// date. It is fresh again once every source has been queried again: the platform's configuration, its list of VMs, and
// the peers. A source that does not answer counts as queried, so that a VM that can reach none of them continues
// to serve with the state that it has.
package freshness

import "time"

const (
	// PauseThreshold is the gap between two ticks of the control goroutine above which the process counts as paused.
	PauseThreshold = time.Second
	// MaxAge is the age of a view above which traffic waits for a newer one.
	MaxAge = time.Second
)

// Elapsed returns the time between two moments. While a VM is paused, either its monotonic or its wall clock may stand
// still, so the longer of the two differences counts.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// IsStale reports whether a view that was made at the given time is too old for traffic to act on.
func IsStale(made, now time.Time) bool {
	return Elapsed(made, now) > MaxAge
}

// Source is one of the sources of the control state.
type Source int

// The sources.
const (
	// SourceConfig is the platform's configuration.
	SourceConfig Source = iota
	// SourceVMs is the platform's list of VMs.
	SourceVMs
	// SourcePeers are the other entry VMs. They count only if queried after the list of VMs, which names them.
	SourcePeers

	sourceCount
)

// Tracker tracks which sources have been queried since the last Reset. Its state is not fresh before all have been.
type Tracker struct {
	resetAt  time.Time
	queried  [sourceCount]bool
	answered [sourceCount]bool
	// vmsQueriedAt is when the first query of SourceVMs since the reset ended.
	vmsQueriedAt time.Time
	// fetches is the number of configurations being fetched from peers.
	fetches int
}

// Reset makes all sources count as not queried; fetches in progress still count. It is called when the process starts
// and after it was paused.
func (t *Tracker) Reset(now time.Time) {
	*t = Tracker{resetAt: now, fetches: t.fetches}
}

// RecordQuery records that a query of a source, begun at started, has ended at now. It reports whether the query
// counts: it must have started after the reset, and a query of the peers also after the list of VMs was queried.
func (t *Tracker) RecordQuery(now, started time.Time, source Source, answered bool) bool {
	if started.Before(t.resetAt) {
		return false
	}
	if source == SourcePeers && (!t.queried[SourceVMs] || started.Before(t.vmsQueriedAt)) {
		return false
	}
	if source == SourceVMs && !t.queried[SourceVMs] {
		t.vmsQueriedAt = now
	}
	t.queried[source] = true
	t.answered[source] = t.answered[source] || answered
	return true
}

// FetchStarted records that a newer configuration is being fetched from a peer.
func (t *Tracker) FetchStarted() {
	t.fetches++
}

// FetchEnded records the end of a fetch, successful or not.
func (t *Tracker) FetchEnded() {
	t.fetches = max(0, t.fetches-1)
}

// Fresh reports whether every source has been queried and no configuration is being fetched from a peer.
func (t *Tracker) Fresh() bool {
	for _, queried := range t.queried {
		if !queried {
			return false
		}
	}
	return t.fetches == 0
}

// Alone reports whether no source has answered since the reset, so that the VM continues with the state that it has.
func (t *Tracker) Alone() bool {
	for _, answered := range t.answered {
		if answered {
			return false
		}
	}
	return true
}
