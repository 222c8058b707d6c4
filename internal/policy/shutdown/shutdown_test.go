package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// TestPlan checks the times of a stop, also for a grace time that is shorter than its reserves.
func TestPlan(t *testing.T) {
	tests := []struct {
		name   string
		grace  time.Duration
		accept time.Duration
		answer time.Duration
		closes time.Duration
	}{
		{"a usual grace time", 6 * time.Second, 3900 * ms, 5340 * ms, 5700 * ms},
		{"a short grace time", time.Second, 400 * ms, 640 * ms, 700 * ms},
		{"shorter than the reserves", 400 * ms, 0, 96 * ms, 120 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Plan(start, tt.grace)
			assert.Equal(t, s.AcceptUntil.Sub(start), tt.accept)
			assert.Equal(t, s.AnswerBy.Sub(start), tt.answer)
			assert.Equal(t, s.CloseBy.Sub(start), tt.closes)
			assert.Assert(t, s.InProgress())
			assert.Assert(t, s.AnswerBy.Before(s.CloseBy))
		})
	}
	assert.Assert(t, !Schedule{}.InProgress())
}

// TestAdmits checks which requests a VM serves whose answers must be final 1,440 ms after the start.
func TestAdmits(t *testing.T) {
	tests := []struct {
		name       string
		arrived    time.Duration
		wait       time.Duration
		idempotent bool
		typical    time.Duration
		want       bool
	}{
		{"ends before the stop", 0, 1440 * ms, false, 0, true},
		{"may outlast the stop, time for its target", 640 * ms, 2000 * ms, true, 90 * ms, true},
		{"may outlast the stop, no time for its target", 641 * ms, 2000 * ms, true, 90 * ms, false},
		{"may outlast the stop, not idempotent", 0, 1441 * ms, false, 90 * ms, false},
		{"usually slower than its target", 500 * ms, 2000 * ms, true, 500 * ms, false},
		{"just in time though usually slow", 440 * ms, 2000 * ms, true, 500 * ms, true},
		{"read after the limit", 1441 * ms, 10 * ms, true, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Schedule{Began: start.Add(-time.Second), AnswerBy: start.Add(1440 * ms)}
			r := Request{
				Arrived: start.Add(tt.arrived), Deadline: start.Add(tt.arrived + tt.wait), Idempotent: tt.idempotent,
				Target: 800 * ms, TypicalLatency: tt.typical,
			}
			assert.Equal(t, s.Admits(r), tt.want)
			assert.Assert(t, Schedule{}.Admits(r))
		})
	}
}
