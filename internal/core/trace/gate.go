package trace

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

// NewGateLog starts the log of one search's admission gate. The decisions of a gate depend on all its
// previous inputs, so the log must begin when the gate is created. Without a capture at that time it is nil, and the
// methods of a nil log record nothing.
func (r *Recorder) NewGateLog(now time.Time, search unit.SearchName) *GateLog {
	if r == nil {
		return nil
	}
	c := r.capture.Load()
	if c == nil {
		return nil
	}
	l := &GateLog{capture: c, run: replay.RunID(r.lastRun.Add(1))}
	l.add(now, replay.KindGate, replay.Gate{Search: search})
	return l
}

// GateLog records one admission gate. When the capture's buffer is full, the log stops for good, so that a trace holds
// an uninterrupted sequence from the creation of the gate. The lock of the gate guards the log.
type GateLog struct {
	capture *Capture
	run     replay.RunID
	stopped bool
}

// RecordChange records new settings and returns the decisions unchanged.
func (l *GateLog) RecordChange(now time.Time, settings admit.Settings, decisions []rank.Decision) []rank.Decision {
	l.add(now, replay.KindChange, replay.Gate{Settings: settings, Decisions: decisions})
	return decisions
}

// RecordTicket records a query that requests admission and returns the decisions unchanged.
func (l *GateLog) RecordTicket(now time.Time, ticket rank.Ticket, decisions []rank.Decision) []rank.Decision {
	l.add(now, replay.KindTicket, replay.Gate{Ticket: ticket, Decisions: decisions})
	return decisions
}

// RecordDone records the end of a running query and returns the decisions unchanged. took is the run time charged
// for it.
func (l *GateLog) RecordDone(
	now time.Time, name unit.RankName, took time.Duration, decisions []rank.Decision,
) []rank.Decision {
	l.add(now, replay.KindDone, replay.Gate{Rank: name, Took: took, Decisions: decisions})
	return decisions
}

// RecordWithdraw records a query that withdraws its ticket. It returns wasWaiting, which reports whether the query
// was still waiting.
func (l *GateLog) RecordWithdraw(now time.Time, id uint64, wasWaiting bool) bool {
	l.add(now, replay.KindWithdraw, replay.Gate{Ticket: rank.Ticket{ID: id}, WasWaiting: wasWaiting})
	return wasWaiting
}

// add passes one record to the capture unless the log is nil or has stopped. The log stops if the capture drops the
// record.
func (l *GateLog) add(now time.Time, kind replay.Kind, fields replay.Gate) {
	if l == nil || l.stopped {
		return
	}
	l.stopped = !l.capture.enqueue([]replay.Record{{Run: l.run, At: now, Kind: kind, Gate: &fields}})
}
