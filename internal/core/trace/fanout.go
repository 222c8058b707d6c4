package trace

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/replay"
)

// FanoutLog collects the records of one query and passes them to the capture together when the query ends, so that a
// trace holds only whole queries. The methods of a nil log record nothing. It is used only by the goroutine that
// drives the query.
type FanoutLog struct {
	capture *Capture
	run     replay.RunID
	records []replay.Record
}

// RecordStart records the start of the query's state machine and returns the actions unchanged.
func (l *FanoutLog) RecordStart(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindStart, replay.Fanout{}, actions)
}

// RecordReply records the end of an attempt and returns the actions unchanged.
func (l *FanoutLog) RecordReply(now time.Time, reply fanout.Reply, actions []fanout.Action) []fanout.Action {
	if l == nil {
		return actions
	}
	reply.Body = Digest(reply.Body)
	return l.addStep(now, replay.KindReply, replay.Fanout{Reply: reply}, actions)
}

// RecordTick records a call of the state machine's Tick and returns the actions unchanged.
func (l *FanoutLog) RecordTick(now time.Time, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindTick, replay.Fanout{}, actions)
}

// RecordStop records the early stop of the query with its reason and returns the actions unchanged.
func (l *FanoutLog) RecordStop(now time.Time, code unit.Code, actions []fanout.Action) []fanout.Action {
	return l.addStep(now, replay.KindStop, replay.Fanout{Code: code}, actions)
}

// RecordAnswer records the answer, passes the query's records to the capture and returns the answer unchanged.
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

// addStep records one input of the state machine with the actions that followed, and returns the actions.
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

// add appends one record to the log. RecordAnswer passes them all to the capture.
func (l *FanoutLog) add(now time.Time, kind replay.Kind, fields *replay.Fanout) {
	l.records = append(l.records, replay.Record{Run: l.run, At: now, Kind: kind, Fanout: fields})
}
