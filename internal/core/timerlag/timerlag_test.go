package timerlag

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
)

// TestRecord checks what is counted, and that log lines are bounded and lose no late timer.
func TestRecord(t *testing.T) {
	const ms = time.Millisecond
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	type firing struct{ at, late time.Duration }
	tests := []struct {
		name    string
		firings []firing
		late    int64
		lines   []string
	}{
		{"on time", []firing{{0, 0}, {100 * ms, 50 * ms}}, 0, nil},
		{"one late", []firing{{0, 51 * ms}, {100 * ms, 0}}, 1, []string{"late_ms=51 times=1"}},
		{
			"many within a second",
			[]firing{{0, 60 * ms}, {100 * ms, 300 * ms}, {200 * ms, 70 * ms}, {1100 * ms, 0}},
			3,
			[]string{"late_ms=60 times=1", "late_ms=300 times=2"},
		},
		{
			"more than a second apart",
			[]firing{{0, 60 * ms}, {2000 * ms, 61 * ms}},
			2,
			[]string{"late_ms=60 times=1", "late_ms=61 times=1"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var text bytes.Buffer
			metrics := metric.NewSet()
			log := slog.New(slog.NewTextHandler(&text, nil))
			m := &monitor{metrics: metrics, lag: metrics.RegisterLatency(histogramLag), log: log}
			for _, f := range tt.firings {
				m.record(start.Add(f.at), kernel.TimerFired{Late: f.late})
			}
			assert.Equal(t, metrics.Get(counterLate), tt.late)
			assert.Equal(t, m.lag.Count(), int64(len(tt.firings)))
			assert.Assert(t, strings.Contains(metrics.String(), `"timer.lag"`))
			var lines []string
			for _, line := range strings.Split(strings.TrimSpace(text.String()), "\n") {
				if _, fields, ok := strings.Cut(line, `msg="timer fired late" `); ok {
					lines = append(lines, fields)
				}
			}
			assert.DeepEqual(t, lines, tt.lines)
		})
	}
}
