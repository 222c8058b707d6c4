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

// RecordStart records the machine's start and gives the actions back.
func (l *FanoutLog) RecordStart(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindStart, replay.Fanout{}, actions)
}

// RecordReply records the end of an attempt and gives the actions back.
func (l *FanoutLog) RecordReply(now time.Time, reply fanout.Reply, actions []fanout.Action) []fanout.Action {
	if l == nil {
		return actions
	}
	reply.Body = Digest(reply.Body)
	return l.addStep(now, replay.KindReply, replay.Fanout{Reply: reply}, actions)
}

// RecordTick records the passing of time and gives the actions back.
func (l *FanoutLog) RecordTick(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindTick, replay.Fanout{}, actions)
}

// RecordStop records the early end of the query and gives the actions back.
func (l *FanoutLog) RecordStop(now time.Time, code unit.Code, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindStop, replay.Fanout{Code: code}, actions)
}

// RecordAnswer records the answer, hands the query's records on and gives the answer back.
func (l *FanoutLog) RecordAnswer(now time.Time, answer fanout.Answer) fanout.Answer {
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
	l.capture.enqueue(l.records)
	return answer
}

func (l *FanoutLog) addStep(
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
