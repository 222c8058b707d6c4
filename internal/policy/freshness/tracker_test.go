package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestTrackerNeedsEachSourceAgain guards against traffic acting on control state from before a start or pause: the
// state must not be fresh before every source has been queried again, in the right order.
func TestTrackerNeedsEachSourceAgain(t *testing.T) {
	type step struct {
		// at and began are when the query ended and began, since the start of the test.
		at, began time.Duration
		source    Source
		answered  bool
		reset     bool
		// fetching is 1 when a fetch starts after the step, and -1 when it ends.
		fetching int
		fresh    bool
		alone    bool
	}
	ms := time.Millisecond
	tests := []struct {
		name  string
		steps []step
	}{
		{"every source answers", []step{
			{at: 2 * ms, began: ms, source: SourceConfig, answered: true},
			{at: 3 * ms, began: ms, source: SourceVMs, answered: true},
			{at: 5 * ms, began: 4 * ms, source: SourcePeers, answered: true, fresh: true},
		}},
		{"no source answers", []step{
			{at: 2 * ms, began: ms, source: SourceVMs, alone: true},
			{at: 3 * ms, began: ms, source: SourceConfig, alone: true},
			{at: 5 * ms, began: 4 * ms, source: SourcePeers, fresh: true, alone: true},
		}},
		{"peers queried before the list of VMs was read do not count", []step{
			{at: 2 * ms, began: ms, source: SourcePeers, answered: true, alone: true},
			{at: 3 * ms, began: ms, source: SourceConfig, answered: true},
			{at: 4 * ms, began: ms, source: SourceVMs, answered: true},
			{at: 5 * ms, began: 3 * ms, source: SourcePeers, answered: true},
			{at: 7 * ms, began: 6 * ms, source: SourcePeers, answered: true, fresh: true},
		}},
		{"a query that began before a pause does not count after it", []step{
			{at: 2 * ms, began: ms, source: SourceVMs, answered: true},
			{at: 3 * ms, began: 3 * ms, source: SourcePeers, answered: true},
			{at: 4 * ms, began: ms, source: SourceConfig, answered: true, fresh: true},
			{at: 9000 * ms, reset: true, alone: true},
			{at: 9001 * ms, began: 4 * ms, source: SourceConfig, answered: true, alone: true},
			{at: 9002 * ms, began: 9001 * ms, source: SourceConfig, answered: true},
			{at: 9003 * ms, began: 9001 * ms, source: SourceVMs, answered: true},
			{at: 9005 * ms, began: 9004 * ms, source: SourcePeers, answered: true, fresh: true},
		}},
		{"not fresh while a newer configuration is fetched from a peer", []step{
			{at: 2 * ms, began: ms, source: SourceConfig, answered: true},
			{at: 3 * ms, began: ms, source: SourceVMs, answered: true},
			{at: 3 * ms, began: ms, source: SourceVMs, answered: true, fetching: 1},
			{at: 5 * ms, began: 4 * ms, source: SourcePeers, answered: true},
			{at: 6 * ms, began: 4 * ms, source: SourcePeers, answered: true, fetching: -1, fresh: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := &Tracker{}
			tracker.Reset(start)
			for i, s := range tt.steps {
				switch {
				case s.reset:
					tracker.Reset(start.Add(s.at))
				default:
					tracker.RecordQuery(start.Add(s.at), start.Add(s.began), s.source, s.answered)
				}
				switch s.fetching {
				case 1:
					tracker.FetchStarted()
				case -1:
					tracker.FetchEnded()
				}
				assert.Equal(t, tracker.Fresh(), s.fresh, "step %d", i)
				assert.Equal(t, tracker.Alone(), s.alone, "step %d", i)
			}
		})
	}
}

// TestIsStaleUsesTheLongerClock checks views around MaxAge, and that a wall clock set back makes no view stale.
func TestIsStaleUsesTheLongerClock(t *testing.T) {
	tests := []struct {
		name string
		made time.Time
		now  time.Time
		want bool
	}{
		{"young", start, start.Add(900 * time.Millisecond), false},
		{"old", start, start.Add(1100 * time.Millisecond), true},
		{"the wall clock was set back", start, start.Add(-time.Hour), false},
	}
	for _, tt := range tests {
		assert.Equal(t, IsStale(tt.made, tt.now), tt.want, tt.name)
	}
}

// TestBackoffGrowsWithJitter checks the shortest and the longest pause after a number of failures.
func TestBackoffGrowsWithJitter(t *testing.T) {
	tests := []struct {
		failures int
		low      time.Duration
		high     time.Duration
	}{
		{1, 100 * time.Millisecond, 200 * time.Millisecond},
		{2, 200 * time.Millisecond, 400 * time.Millisecond},
		{5, 1600 * time.Millisecond, 3200 * time.Millisecond},
		{6, 2500 * time.Millisecond, 5 * time.Second},
		{1000, 2500 * time.Millisecond, 5 * time.Second},
	}
	for _, tt := range tests {
		assert.Equal(t, Backoff(tt.failures, 0), tt.low, "%d", tt.failures)
		assert.Equal(t, Backoff(tt.failures, 1), tt.high, "%d", tt.failures)
	}
}
