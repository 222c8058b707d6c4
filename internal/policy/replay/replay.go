package replay

import (
	"fmt"

	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// Difference is an outcome of the replay that differs from the recorded one.
type Difference struct {
	// Line is the line of the record, or 0 when the trace ends before an expected record.
	Line     int
	Run      RunID
	Kind     Kind
	Expected string
	Got      string
}

// Result summarizes a replay.
type Result struct {
	// Runs counts the state machines that were replayed, and Outcomes the outcomes that were compared.
	Runs     int
	Outcomes int
	// Dropped is the number of records that the recorder dropped because its buffer was full.
	Dropped int64
	// Ended reports whether the trace has its end record. Without one it was cut short.
	Ended       bool
	Differences []Difference
}

// replayer holds the state machines of one replay.
type replayer struct {
	result   Result
	queries  map[RunID]*queryRun
	gates    map[RunID]*admit.Gate
	selector *revision.Selector
}

// queryRun is the state machine of one query.
type queryRun struct {
	machine *fanout.Machine
	// line is the line of the plan.
	line int
	// answered is set once the trace has had the query's answer.
	answered bool
}

// Run replays the records of a trace in order and returns the differences found.
func Run(records []Record) Result {
	p := &replayer{queries: make(map[RunID]*queryRun), gates: make(map[RunID]*admit.Gate)}
	for _, r := range records {
		p.replayRecord(r)
	}
	p.reportUnanswered(records)
	return p.result
}

// replayRecord passes one record to the state machine that it belongs to, or notes the end of the trace.
func (p *replayer) replayRecord(r Record) {
	switch {
	case r.Kind == KindEnd:
		p.result.Dropped = r.Dropped
		p.result.Ended = true
	case r.Kind == KindOffer:
		p.replayOffer(r)
	case isAdmissionKind(r.Kind):
		p.replayAdmission(r)
	default:
		p.replayFanout(r)
	}
}

// replayFanout replays a record of a query's fan-out: it creates the machine for KindPlan, compares the answer for
// KindAnswer, and otherwise passes the input to the machine and compares the actions.
func (p *replayer) replayFanout(r Record) {
	if r.Fanout == nil {
		p.addDifference(r, "a record of a fan-out", "a record without its fields")
		return
	}
	if r.Kind == KindPlan {
		p.replayPlan(r)
		return
	}
	q := p.queries[r.Run]
	if q == nil {
		p.addDifference(r, "a plan of run "+fmt.Sprint(r.Run)+" before this record", "none")
		return
	}
	if r.Kind == KindAnswer {
		p.replayAnswer(r, q)
		return
	}
	p.result.Outcomes++
	actions, ok := q.apply(r)
	if !ok {
		p.addDifference(r, "a known kind", string(r.Kind))
		return
	}
	p.compare(r, describeActions(r.Fanout.Actions), describeActions(actions))
}

// replayPlan creates the state machine of a query from its plan.
func (p *replayer) replayPlan(r Record) {
	if p.queries[r.Run] != nil {
		p.addDifference(r, "one plan for each run", "a second plan")
		return
	}
	p.result.Runs++
	p.queries[r.Run] = &queryRun{machine: fanout.New(r.Fanout.Query, r.Fanout.Plan), line: r.Line}
}

// apply passes the input of a record to the machine and returns its actions; ok is false if the kind is not an input.
func (q *queryRun) apply(r Record) (actions []fanout.Action, ok bool) {
	switch r.Kind {
	case KindStart:
		return q.machine.Start(r.At), true
	case KindReply:
		return q.machine.HandleReply(r.At, r.Fanout.Reply), true
	case KindTick:
		return q.machine.Tick(r.At), true
	case KindStop:
		return q.machine.Stop(r.Fanout.Code), true
	default:
		return nil, false
	}
}

// replayAnswer compares the answer of a query's machine with the recorded one.
func (p *replayer) replayAnswer(r Record, q *queryRun) {
	p.result.Outcomes++
	q.answered = true
	if !q.machine.Done() {
		p.addDifference(r, "a final answer", "a machine that is not done")
		return
	}
	expected, got := describeAnswerDifference(r.Fanout.Answer, q.machine.Answer())
	p.compare(r, expected, got)
}

// reportUnanswered adds a difference for each query whose answer is not in the trace.
func (p *replayer) reportUnanswered(records []Record) {
	for _, r := range records {
		if r.Kind != KindPlan {
			continue
		}
		if q := p.queries[r.Run]; q != nil && !q.answered {
			p.addDifference(Record{Run: r.Run, Kind: KindAnswer}, "an answer", "the end of the trace")
		}
	}
}

// replayOffer replays the decision on a configuration that was received. One selector serves the whole trace; it starts
// with the configuration that was in force before the first record.
func (p *replayer) replayOffer(r Record) {
	if r.Offer == nil {
		p.addDifference(r, "a record of a configuration", "a record without its fields")
		return
	}
	if p.selector == nil {
		p.result.Runs++
		p.selector = &revision.Selector{}
		if r.Offer.Before.Revision > 0 {
			p.selector.Apply(newOffer(r.Offer.Before, true, ""))
		}
	}
	p.result.Outcomes++
	current := p.selector.Current()
	before := ConfigVersion{Revision: current.Revision, Digest: current.Digest}
	verdict := p.selector.Apply(newOffer(r.Offer.Offered, r.Offer.Valid, r.Offer.Problem))
	expected := describeOffer(r.Offer.Before, r.Offer.Verdict, r.Offer.After)
	p.compare(r, expected, describeOffer(before, verdict, p.selector.Current().Revision))
}

// newOffer returns an offer for replay. Its catalog is empty if the content was valid and nil otherwise.
func newOffer(version ConfigVersion, valid bool, problem string) revision.Offer {
	offer := revision.Offer{Revision: version.Revision, Digest: version.Digest, Problem: problem}
	if valid {
		offer.Catalog = &catalog.Catalog{}
	}
	return offer
}

// compare adds a difference if the expected and the actual outcome differ.
func (p *replayer) compare(r Record, expected, got string) {
	if expected != got {
		p.addDifference(r, expected, got)
	}
}

// addDifference adds a difference at record r to the result.
func (p *replayer) addDifference(r Record, expected, got string) {
	p.result.Differences = append(p.result.Differences, Difference{
		Line:     r.Line,
		Run:      r.Run,
		Kind:     r.Kind,
		Expected: expected,
		Got:      got,
	})
}
