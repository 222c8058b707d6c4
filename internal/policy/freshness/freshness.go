// Package freshness decides whether the control state is fresh enough for traffic to act on.
//
// At the start of a process, and whenever its control goroutine has not run for a while, everything that it believes
// is old. The state is fresh again once each source has been asked anew: the platform's configuration, its list of
// VMs, and the peers. A source that does not answer counts as asked, so that a node cut off from all of them serves
// on with what it knows.
package freshness

import "time"

const (
	// PauseThreshold is the gap in the control goroutine's clock from which on the process counts as paused.
	PauseThreshold = time.Second
	// MaxAge is the age of a view from which on traffic waits for a newer one.
	MaxAge = time.Second
)

// Elapsed gives the time from one moment to a later one. A paused VM may stop either the monotonic or the wall clock,
// so the longer of the two counts.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// IsStale says whether traffic must not act on a view made at that time.
func IsStale(made, now time.Time) bool {
	return Elapsed(made, now) > MaxAge
}

// Source is one origin of the control state.
type Source int

// The sources.
const (
	// SourceConfig is the platform's configuration.
	SourceConfig Source = iota
	// SourceVMs is the platform's list of VMs.
	SourceVMs
	// SourcePeers are the other entry VMs. They count once asked after the list, which names them.
	SourcePeers

	sourceCount
)

// Tracker tells whether every source has been asked since the process was last paused. It starts closed.
type Tracker struct {
	resetAt      time.Time
	queried      [sourceCount]bool
	answered     [sourceCount]bool
	vmsQueriedAt time.Time
	fetches      int
}

// Reset closes the gate: all that was learned before now is old.
func (t *Tracker) Reset(now time.Time) {
	*t = Tracker{resetAt: now, fetches: t.fetches}
}

// RecordQuery notes the end, at now, of an attempt to ask a source that began at began. It says whether the attempt counts;
// one that began before the pause does not.
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

// FetchStarted notes that a newer configuration is being fetched from a peer.
func (t *Tracker) FetchStarted() {
	t.fetches++
}

// FetchEnded notes the end of a fetch.
func (t *Tracker) FetchEnded() {
	t.fetches = max(0, t.fetches-1)
}

// Fresh says whether every source has been asked and nothing newer is under way.
func (t *Tracker) Fresh() bool {
	for _, queried := range t.queried {
		if !queried {
			return false
		}
	}
	return t.fetches == 0
}

// Alone says whether no source has answered.
func (t *Tracker) Alone() bool {
	for _, answered := range t.answered {
		if answered {
			return false
		}
	}
	return true
}
