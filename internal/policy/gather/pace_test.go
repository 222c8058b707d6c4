package gather

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestPace(t *testing.T) {
	search := Pace{Target: 80 * ms, Timeout: 400 * ms}
	tests := []struct {
		name   string
		pace   Pace
		caller Caller
		lag    time.Duration
		hedge  time.Duration
		cut    time.Time
		end    time.Time
	}{
		{"nothing known", search, Caller{}, 0, 24 * ms, at(73), at(400)},
		{"a caller's deadline", search, Caller{Left: 300 * ms, Longest: 300 * ms}, 0, 24 * ms, at(73), at(292)},
		{"a caller that is far", search, Caller{Trip: 10 * ms}, 0, 24 * ms, at(65), at(400)},
		{"a caller that has just connected", search, Caller{Trip: 10 * ms, First: true}, 0, 24 * ms, at(55), at(400)},
		{"a caller that is very far", search, Caller{Trip: 60 * ms}, 0, 24 * ms, at(26), at(400)},
		{"a slow VM", search, Caller{Trip: 10 * ms}, 9 * ms, 24 * ms, at(61), at(400)},
		{"a caller that comes back", search, Caller{Left: 370 * ms, Longest: 400 * ms}, 0, 24 * ms, at(44), at(362)},
		{"a caller that comes back late", search, Caller{Left: 100 * ms, Longest: 400 * ms}, 0, 24 * ms, at(74), at(92)},
		{"hardly any time left", search, Caller{Left: 8 * ms, Longest: 8 * ms}, 0, 24 * ms, at(73), at(6)},
		{
			"the route's timeout is shorter",
			Pace{Target: 80 * ms, Timeout: 200 * ms},
			Caller{Left: 400 * ms, Longest: 400 * ms},
			0, 24 * ms, at(73), at(200),
		},
		{"a slow route", Pace{Usual: 20 * ms, Target: 80 * ms, Timeout: 400 * ms}, Caller{}, 0, 40 * ms, at(73), at(400)},
		{
			"a route slower than its target",
			Pace{Usual: 90 * ms, Target: 80 * ms, Timeout: 400 * ms},
			Caller{},
			0, 48 * ms, at(73), at(400),
		},
		{"a short target", Pace{Target: 10 * ms, Timeout: 100 * ms}, Caller{}, 0, 3 * ms, at(6), at(100)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.pace.Left = tt.caller.Left
			tt.caller.Arrived = start
			assert.Equal(t, tt.pace.HedgeAfter(), tt.hedge)
			assert.Equal(t, tt.pace.Cut(tt.caller, tt.lag), tt.cut)
			assert.Equal(t, tt.pace.End(start), tt.end)
		})
	}
}

func TestLag(t *testing.T) {
	tests := []struct {
		name  string
		takes []time.Duration
		least time.Duration
		most  time.Duration
	}{
		{"nothing known", nil, 0, 0},
		{"steady", slices.Repeat([]time.Duration{4 * ms}, 100), 4 * ms, 5 * ms},
		{"uneven", slices.Repeat([]time.Duration{2 * ms, 6 * ms}, 100), 6 * ms, 9 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l Lag
			for _, d := range tt.takes {
				l.Took(d)
			}
			got := l.Expected()
			assert.Assert(t, got >= tt.least && got <= tt.most, "expected %v", got)
		})
	}
}
