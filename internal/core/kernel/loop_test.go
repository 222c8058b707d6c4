package kernel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNextDue checks that ticks that a late ticker drops do not count as late ones.
func TestNextDue(t *testing.T) {
	due := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		late time.Duration
		want time.Duration
	}{
		{"early", -time.Millisecond, tickPeriod},
		{"on time", 0, tickPeriod},
		{"late by less than a period", tickPeriod - 1, tickPeriod},
		{"late by a period", tickPeriod, 2 * tickPeriod},
		{"late by some periods", 5*tickPeriod + tickPeriod/2, 6 * tickPeriod},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, nextDue(due, due.Add(tt.late)), due.Add(tt.want))
		})
	}
}
