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
	}{
		{"a usual grace time", 6 * time.Second, 3900 * ms, 5340 * ms},
		{"a short grace time", time.Second, 400 * ms, 640 * ms},
		{"shorter than the reserves", 400 * ms, 0, 96 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Plan(start, tt.grace)
			assert.Equal(t, s.AcceptUntil.Sub(start), tt.accept)
			assert.Equal(t, s.AnswerBy.Sub(start), tt.answer)
			assert.Assert(t, s.InProgress())
			assert.Assert(t, s.AnswerBy.Before(s.AcceptUntil.Add(FinishTime(tt.grace))))
		})
	}
	assert.Assert(t, !Schedule{}.InProgress())
}
