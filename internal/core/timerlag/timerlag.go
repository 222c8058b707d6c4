// Package timerlag records how late the timers of this process fire. Late timers delay hedges, cuts and timeouts, which
// looks like slow endpoints in all other metrics.
package timerlag

import (
	"log/slog"
	"time"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
)

const (
	// counterLate counts the timers that fired later than lateLimit.
	counterLate = "timer.late"
	// histogramLag has by how much timers fired late.
	histogramLag = "timer.lag"
	// lateLimit is the lag at which a timer counts as late. It is a large part of a short target latency.
	lateLimit = 50 * time.Millisecond
	// logPeriod is the shortest time between two log lines.
	logPeriod = time.Second
)

// monitor watches the ticker of the control goroutine, and belongs to that goroutine.
type monitor struct {
	metrics *metric.Set
	lag     *metric.Latency
	log     *slog.Logger
	// lastLog is the time of the last log line.
	lastLog time.Time
	// times is how many timers were late since then.
	times int
	// latest is the greatest of their lags.
	latest time.Duration
}

// Install starts to record the lag of the loop's ticker. It must be called before the loop starts.
func Install(loop *kernel.Loop, metrics *metric.Set, log *slog.Logger) {
	m := &monitor{metrics: metrics, lag: metrics.RegisterLatency(histogramLag), log: log}
	kernel.On(loop, m.record)
}

// record records the lag of one timer.
func (m *monitor) record(now time.Time, e kernel.TimerFired) {
	m.lag.Record(e.Late)
	if e.Late > lateLimit {
		m.metrics.Add(counterLate, 1)
		m.times++
		m.latest = max(m.latest, e.Late)
	}
	if m.times == 0 || now.Sub(m.lastLog) < logPeriod {
		return
	}
	m.log.Warn("timer fired late", "late_ms", m.latest.Milliseconds(), "times", m.times)
	m.lastLog, m.times, m.latest = now, 0, 0
}
