package trace

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

// NewGateLog begins the log of one search's admission. What a gate decides follows from all that it was asked before, so the
// log is nil, which takes every call and does nothing, unless a capture is under way when the gate is made.
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

// GateLog hands on the records of one admission. After a record that finds no room it records nothing more, so that
// what a trace holds of an admission is always its beginning. The lock of the admission guards it.
type GateLog struct {
	capture *Capture
	run     replay.RunID
	stopped bool
}

// RecordChange records new settings and gives the verdicts back.
func (l *GateLog) RecordChange(now time.Time, settings admit.Settings, verdicts []rank.Verdict) []rank.Verdict {
	l.add(now, replay.KindChange, replay.Gate{Settings: settings, Verdicts: verdicts})
	return verdicts
}

// RecordTicket records a query that asks to run and gives the verdicts back.
func (l *GateLog) RecordTicket(now time.Time, ticket rank.Ticket, verdicts []rank.Verdict) []rank.Verdict {
	l.add(now, replay.KindTicket, replay.Gate{Ticket: ticket, Verdicts: verdicts})
	return verdicts
}

// RecordDone records the end of a running query and gives the verdicts back.
func (l *GateLog) RecordDone(
	now time.Time, name unit.RankName, took time.Duration, verdicts []rank.Verdict,
) []rank.Verdict {
	l.add(now, replay.KindDone, replay.Gate{Rank: name, Took: took, Verdicts: verdicts})
	return verdicts
}

// RecordWithdraw records a query that gives up and gives back whether it still waited.
func (l *GateLog) RecordWithdraw(now time.Time, id uint64, wasWaiting bool) bool {
	l.add(now, replay.KindWithdraw, replay.Gate{Ticket: rank.Ticket{ID: id}, WasWaiting: wasWaiting})
	return wasWaiting
}

func (l *GateLog) add(now time.Time, kind replay.Kind, fields replay.Gate) {
	if l == nil || l.stopped {
		return
	}
	l.stopped = !l.capture.enqueue([]replay.Record{{Run: l.run, At: now, Kind: kind, Gate: &fields}})
}
