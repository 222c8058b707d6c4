package gather

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// TestTiming checks the hedge delay, the partial deadline and the deadline of a request.
func TestTiming(t *testing.T) {
	search := Timing{Target: 80 * ms, Timeout: 400 * ms}
	tests := []struct {
		name     string
		timing   Timing
		caller   Caller
		lag      time.Duration
		hedge    time.Duration
		partial  time.Time
		deadline time.Time
	}{
		{"nothing known", search, Caller{}, 0, 24 * ms, at(73), at(400)},
		{"a caller's deadline", search, Caller{Remaining: 300 * ms, MaxRemaining: 300 * ms}, 0, 24 * ms, at(73), at(292)},
		{"a long round trip", search, Caller{RoundTrip: 10 * ms}, 0, 24 * ms, at(65), at(400)},
		{"a new connection", search, Caller{RoundTrip: 10 * ms, NewConnection: true}, 0, 24 * ms, at(55), at(400)},
		{"a very long round trip", search, Caller{RoundTrip: 60 * ms}, 0, 24 * ms, at(26), at(400)},
		{"a slow VM", search, Caller{RoundTrip: 10 * ms}, 9 * ms, 24 * ms, at(61), at(400)},
		{"a caller that retries", search, Caller{Remaining: 370 * ms, MaxRemaining: 400 * ms}, 0, 24 * ms, at(44), at(362)},
		{
			"a caller that retries after its target", search,
			Caller{Remaining: 100 * ms, MaxRemaining: 400 * ms},
			0, 24 * ms, at(74), at(92),
		},
		{"hardly any time left", search, Caller{Remaining: 8 * ms, MaxRemaining: 8 * ms}, 0, 24 * ms, at(73), at(6)},
		{
			"the route's timeout is shorter",
			Timing{Target: 80 * ms, Timeout: 200 * ms},
			Caller{Remaining: 400 * ms, MaxRemaining: 400 * ms},
			0, 24 * ms, at(73), at(200),
		},
		{
			"a slow route",
			Timing{TypicalLatency: 20 * ms, Target: 80 * ms, Timeout: 400 * ms},
			Caller{},
			0, 40 * ms, at(73), at(400),
		},
		{
			"a route slower than its target",
			Timing{TypicalLatency: 90 * ms, Target: 80 * ms, Timeout: 400 * ms},
			Caller{},
			0, 48 * ms, at(73), at(400),
		},
		{"a short target", Timing{Target: 10 * ms, Timeout: 100 * ms}, Caller{}, 0, 3 * ms, at(6), at(100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.timing.Remaining = tt.caller.Remaining
			tt.caller.Arrived = start
			assert.Equal(t, tt.timing.HedgeAfter(), tt.hedge)
			assert.Equal(t, tt.timing.PartialDeadline(tt.caller, tt.lag), tt.partial)
			assert.Equal(t, tt.timing.Deadline(start), tt.deadline)
		})
	}
}

// TestHedgeAfterNearDeadline checks that a shard is hedged sooner when little time is left to the partial deadline, but
// not before a healthy attempt has had its time.
func TestHedgeAfterNearDeadline(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		until   time.Duration
		want    time.Duration
	}{
		{"no partial deadline", 3 * ms, 0, 12 * ms},
		{"much time", 3 * ms, 35 * ms, 12 * ms},
		{"little time", 3 * ms, 20 * ms, 8 * ms},
		{"less than a healthy attempt takes", 3 * ms, 5 * ms, 6 * ms},
		{"slow endpoints", 10 * ms, 20 * ms, 20 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timing := Timing{TypicalLatency: tt.typical, Target: 40 * ms, UntilPartial: tt.until}
			assert.Equal(t, timing.HedgeAfter(), tt.want)
		})
	}
}

func TestLag(t *testing.T) {
	tests := []struct {
		name    string
		samples []time.Duration
		lower   time.Duration
		upper   time.Duration
	}{
		{"nothing known", nil, 0, 0},
		{"steady", slices.Repeat([]time.Duration{4 * ms}, 100), 4 * ms, 5 * ms},
		{"uneven", slices.Repeat([]time.Duration{2 * ms, 6 * ms}, 100), 6 * ms, 9 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Lag
			for _, d := range tt.samples {
				l.Record(d)
			}
			got := l.UpperEstimate()
			assert.Assert(t, got >= tt.lower && got <= tt.upper, "upper estimate %v", got)
		})
	}
}
