package replay

import (
	"fmt"

	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// Difference is an outcome that is not what the trace says.
type Difference struct {
	// Line is the line of the record, or 0 when the trace ends too early.
	Line     int
	Run      RunID
	Kind     Kind
	Expected string
	Got      string
}

// Result sums up a replay.
type Result struct {
	// Runs counts the deciding machines, and Outcomes the compared outcomes.
	Runs     int
	Outcomes int
	// Dropped is how many records the recorder had no room for.
	Dropped int64
	// Ended says that the trace has its end record, so that it was not cut short.
	Ended       bool
	Differences []Difference
}

// replayer holds the machines of one replay.
type replayer struct {
	result   Result
	queries  map[RunID]*queryRun
	gates    map[RunID]*admit.Gate
	selector *revision.Selector
}

// queryRun is the machine of one query.
type queryRun struct {
	machine  *fanout.Machine
	line     int
	answered bool
}

// Run replays a trace from its first record to its last.
func Run(records []Record) Result {
	p := &replayer{queries: make(map[RunID]*queryRun), gates: make(map[RunID]*admit.Gate)}
	for _, r := range records {
		p.replayRecord(r)
	}
	p.reportUnanswered(records)
	return p.result
}

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

// replayFanout replays a record of a query's machine.
func (p *replayer) replayFanout(r Record) {
	if r.Fanout == nil {
		p.addDifference(r, "a record of a fan-out", "a record without its fields")
		return
	}
	if r.Kind == KindPlan {
		p.replayPlan(r)
		return
	}
	f := p.queries[r.Run]
	if f == nil {
		p.addDifference(r, "a plan of run "+fmt.Sprint(r.Run)+" before this record", "none")
		return
	}
	if r.Kind == KindAnswer {
		p.replayAnswer(r, f)
		return
	}
	p.result.Outcomes++
	actions, ok := f.apply(r)
	if !ok {
		p.addDifference(r, "a known kind", string(r.Kind))
		return
	}
	p.compare(r, describeActions(r.Fanout.Actions), describeActions(actions))
}

func (p *replayer) replayPlan(r Record) {
	if p.queries[r.Run] != nil {
		p.addDifference(r, "one plan for each run", "a second plan")
		return
	}
	p.result.Runs++
	p.queries[r.Run] = &queryRun{machine: fanout.New(r.Fanout.Query, r.Fanout.Plan), line: r.Line}
}

// apply hands one input to the machine and gives what it decides; ok is false for a kind that is none of an input.
func (f *queryRun) apply(r Record) (actions []fanout.Action, ok bool) {
	switch r.Kind {
	case KindStart:
		return f.machine.Start(r.At), true
	case KindReply:
		return f.machine.HandleReply(r.At, r.Fanout.Reply), true
	case KindTick:
		return f.machine.Tick(r.At), true
	case KindStop:
		return f.machine.Stop(r.Fanout.Code), true
	default:
		return nil, false
	}
}

func (p *replayer) replayAnswer(r Record, f *queryRun) {
	p.result.Outcomes++
	f.answered = true
	if !f.machine.Done() {
		p.addDifference(r, "a final answer", "a machine that is not done")
		return
	}
	expected, got := describeAnswerDifference(r.Fanout.Answer, f.machine.Answer())
	p.compare(r, expected, got)
}

// reportUnanswered reports the queries whose answer is not in the trace.
func (p *replayer) reportUnanswered(records []Record) {
	for _, r := range records {
		if r.Kind != KindPlan {
			continue
		}
		if f := p.queries[r.Run]; f != nil && !f.answered {
			p.addDifference(Record{Run: r.Run, Kind: KindAnswer}, "an answer", "the end of the trace")
		}
	}
}

// replayOffer replays a record of the acceptance of configuration. One holder lives through the whole trace; it starts from
// what the first record says was held.
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

// newOffer makes an offer whose catalog only says whether the content was valid.
func newOffer(version ConfigVersion, valid bool, problem string) revision.Offer {
	offer := revision.Offer{Revision: version.Revision, Digest: version.Digest, Problem: problem}
	if valid {
		offer.Catalog = &catalog.Catalog{}
	}
	return offer
}

func (p *replayer) compare(r Record, expected, got string) {
	if expected != got {
		p.addDifference(r, expected, got)
	}
}

func (p *replayer) addDifference(r Record, expected, got string) {
	p.result.Differences = append(p.result.Differences, Difference{
		Line:     r.Line,
		Run:      r.Run,
		Kind:     r.Kind,
		Expected: expected,
		Got:      got,
	})
}
