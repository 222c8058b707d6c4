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

// player holds the machines of one replay.
type player struct {
	result Result
	fans   map[RunID]*fan
	gates  map[RunID]*admit.Gate
	holder *revision.Selector
}

// fan is the machine of one query.
type fan struct {
	machine  *fanout.Machine
	line     int
	answered bool
}

// Run replays a trace from its first record to its last.
func Run(records []Record) Result {
	p := &player{fans: make(map[RunID]*fan), gates: make(map[RunID]*admit.Gate)}
	for _, r := range records {
		p.step(r)
	}
	p.unanswered(records)
	return p.result
}

func (p *player) step(r Record) {
	switch {
	case r.Kind == KindEnd:
		p.result.Dropped = r.Dropped
		p.result.Ended = true
	case r.Kind == KindOffer:
		p.offer(r)
	case isGate(r.Kind):
		p.gate(r)
	default:
		p.fanout(r)
	}
}

// fanout replays a record of a query's machine.
func (p *player) fanout(r Record) {
	if r.Fanout == nil {
		p.differ(r, "a record of a fan-out", "a record without its fields")
		return
	}
	if r.Kind == KindPlan {
		p.plan(r)
		return
	}
	f := p.fans[r.Run]
	if f == nil {
		p.differ(r, "a plan of run "+fmt.Sprint(r.Run)+" before this record", "none")
		return
	}
	if r.Kind == KindAnswer {
		p.answer(r, f)
		return
	}
	p.result.Outcomes++
	actions, ok := f.step(r)
	if !ok {
		p.differ(r, "a known kind", string(r.Kind))
		return
	}
	p.compare(r, describeActions(r.Fanout.Actions), describeActions(actions))
}

func (p *player) plan(r Record) {
	if p.fans[r.Run] != nil {
		p.differ(r, "one plan for each run", "a second plan")
		return
	}
	p.result.Runs++
	p.fans[r.Run] = &fan{machine: fanout.New(r.Fanout.Query, r.Fanout.Plan), line: r.Line}
}

// step hands one input to the machine and gives what it decides; ok is false for a kind that is none of an input.
func (f *fan) step(r Record) (actions []fanout.Action, ok bool) {
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

func (p *player) answer(r Record, f *fan) {
	p.result.Outcomes++
	f.answered = true
	if !f.machine.Done() {
		p.differ(r, "a final answer", "a machine that is not done")
		return
	}
	expected, got := describeAnswer(r.Fanout.Answer, f.machine.Answer())
	p.compare(r, expected, got)
}

// unanswered reports the queries whose answer is not in the trace.
func (p *player) unanswered(records []Record) {
	for _, r := range records {
		if r.Kind != KindPlan {
			continue
		}
		if f := p.fans[r.Run]; f != nil && !f.answered {
			p.differ(Record{Run: r.Run, Kind: KindAnswer}, "an answer", "the end of the trace")
		}
	}
}

// offer replays a record of the acceptance of configuration. One holder lives through the whole trace; it starts from
// what the first record says was held.
func (p *player) offer(r Record) {
	if r.Offer == nil {
		p.differ(r, "a record of a configuration", "a record without its fields")
		return
	}
	if p.holder == nil {
		p.result.Runs++
		p.holder = &revision.Selector{}
		if r.Offer.Held.Revision > 0 {
			p.holder.Apply(offered(r.Offer.Held, true, ""))
		}
	}
	p.result.Outcomes++
	held := p.holder.Current()
	before := Content{Revision: held.Revision, Digest: held.Digest}
	verdict := p.holder.Apply(offered(r.Offer.Offered, r.Offer.Valid, r.Offer.Problem))
	expected := describeOffer(r.Offer.Held, r.Offer.Verdict, r.Offer.Force)
	p.compare(r, expected, describeOffer(before, verdict, p.holder.Current().Revision))
}

// offered makes an offer whose catalog only says whether the content was valid.
func offered(content Content, valid bool, problem string) revision.Offer {
	offer := revision.Offer{Revision: content.Revision, Digest: content.Digest, Problem: problem}
	if valid {
		offer.Catalog = &catalog.Catalog{}
	}
	return offer
}

func (p *player) compare(r Record, expected, got string) {
	if expected != got {
		p.differ(r, expected, got)
	}
}

func (p *player) differ(r Record, expected, got string) {
	p.result.Differences = append(p.result.Differences, Difference{
		Line:     r.Line,
		Run:      r.Run,
		Kind:     r.Kind,
		Expected: expected,
		Got:      got,
	})
}
