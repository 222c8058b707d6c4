package trace

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/replay"
)

// FanoutLog collects the records of one query and hands them on together at its end, so that a trace holds whole
// queries only. A nil log does nothing. It belongs to the goroutine that drives the query.
type FanoutLog struct {
	capture *Capture
	run     replay.RunID
	records []replay.Record
}

// Start records the machine's start and gives the actions back.
func (l *FanoutLog) Start(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.step(now, replay.KindStart, replay.Fanout{}, actions)
}

// Reply records the end of an attempt and gives the actions back.
func (l *FanoutLog) Reply(now time.Time, reply fanout.Reply, actions []fanout.Action) []fanout.Action {
	if l == nil {
		return actions
	}
	reply.Body = Digest(reply.Body)
	return l.step(now, replay.KindReply, replay.Fanout{Reply: reply}, actions)
}

// Tick records the passing of time and gives the actions back.
func (l *FanoutLog) Tick(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.step(now, replay.KindTick, replay.Fanout{}, actions)
}

// Stop records the early end of the query and gives the actions back.
func (l *FanoutLog) Stop(now time.Time, code unit.Code, actions []fanout.Action) []fanout.Action {
	return l.step(now, replay.KindStop, replay.Fanout{Code: code}, actions)
}

// Answer records the answer, hands the query's records on and gives the answer back.
func (l *FanoutLog) Answer(now time.Time, answer fanout.Answer) fanout.Answer {
	if l == nil {
		return answer
	}
	recorded := answer
	recorded.Parts = make([]fanout.Part, len(answer.Parts))
	for i, p := range answer.Parts {
		p.Body = Digest(p.Body)
		recorded.Parts[i] = p
	}
	l.add(now, replay.KindAnswer, &replay.Fanout{Answer: recorded})
	l.capture.push(l.records)
	return answer
}

func (l *FanoutLog) step(
	now time.Time, kind replay.Kind, fields replay.Fanout, actions []fanout.Action,
) []fanout.Action {
	if l == nil {
		return actions
	}
	fields.Actions = actions
	l.add(now, kind, &fields)
	return actions
}

func (l *FanoutLog) add(now time.Time, kind replay.Kind, fields *replay.Fanout) {
	l.records = append(l.records, replay.Record{Run: l.run, At: now, Kind: kind, Fanout: fields})
}
