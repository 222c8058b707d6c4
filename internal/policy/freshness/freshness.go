// Package freshness decides whether the control state is fresh enough for traffic to act on.
//
// At the start of a process, and whenever its control goroutine has not run for a while, everything that it believes
// is old. The state is fresh again once each source has been asked anew: the platform's configuration, its list of
// VMs, and the peers. A source that does not answer counts as asked, so that a node cut off from all of them serves
// on with what it knows.
package freshness

import "time"

const (
	// PauseGap is the gap in the control goroutine's clock from which on the process counts as paused.
	PauseGap = time.Second
	// MaxAge is the age of a view from which on traffic waits for a newer one.
	MaxAge = time.Second
)

// Elapsed gives the time from one moment to a later one. A paused VM may stop either the monotonic or the wall clock,
// so the longer of the two counts.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Old says whether traffic must not act on a view made at that time.
func Old(made, now time.Time) bool {
	return Elapsed(made, now) > MaxAge
}

// Source is one origin of the control state.
type Source int

// The sources.
const (
	// SourceConfig is the platform's configuration.
	SourceConfig Source = iota
	// SourceList is the platform's list of VMs.
	SourceList
	// SourcePeers are the other entry VMs. They count once asked after the list, which names them.
	SourcePeers

	sources
)

// Gate tells whether every source has been asked since the process was last paused. It starts closed.
type Gate struct {
	since    time.Time
	asked    [sources]bool
	answered [sources]bool
	listed   time.Time
	fetching int
}

// Reset closes the gate: all that was learned before now is old.
func (g *Gate) Reset(now time.Time) {
	*g = Gate{since: now, fetching: g.fetching}
}

// Asked notes the end, at now, of an attempt to ask a source that began at began. It says whether the attempt counts;
// one that began before the pause does not.
func (g *Gate) Asked(now, began time.Time, source Source, answered bool) bool {
	if began.Before(g.since) {
		return false
	}
	if source == SourcePeers && (!g.asked[SourceList] || began.Before(g.listed)) {
		return false
	}
	if source == SourceList && !g.asked[SourceList] {
		g.listed = now
	}
	g.asked[source] = true
	g.answered[source] = g.answered[source] || answered
	return true
}

// Fetching notes that a newer configuration is being fetched from a peer.
func (g *Gate) Fetching() {
	g.fetching++
}

// Fetched notes the end of a fetch.
func (g *Gate) Fetched() {
	g.fetching = max(0, g.fetching-1)
}

// Fresh says whether every source has been asked and nothing newer is under way.
func (g *Gate) Fresh() bool {
	for _, asked := range g.asked {
		if !asked {
			return false
		}
	}
	return g.fetching == 0
}

// Alone says whether no source has answered.
func (g *Gate) Alone() bool {
	for _, answered := range g.answered {
		if answered {
			return false
		}
	}
	return true
}
