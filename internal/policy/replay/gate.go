package replay

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/rank"
)

// The kinds of records of the admission gate of one search. They replay on one admit.Gate per run.
const (
	// KindGate is the creation of a gate, without settings and without waiting or running queries.
	KindGate Kind = "gate"
	// KindChange is a change of the gate's settings, with the decisions that followed.
	KindChange Kind = "change"
	// KindTicket is a query that requests admission, with the decisions that followed.
	KindTicket Kind = "ticket"
	// KindDone is the end of a running query, with the decisions that followed.
	KindDone Kind = "done"
	// KindWithdraw is a query that stops waiting for admission.
	KindWithdraw Kind = "withdraw"
)

// Gate holds the fields of the records of an admission gate.
type Gate struct {
	// Search is set for KindGate.
	Search unit.SearchName
	// Settings are set for KindChange.
	Settings admit.Settings
	// Ticket is set for KindTicket; for KindWithdraw only its id is.
	Ticket rank.Ticket
	// Rank and Took are set for KindDone: the rank of the query that ended, and the running time charged for it.
	Rank unit.RankName
	Took time.Duration
	// WasWaiting is set for KindWithdraw: whether the query was still waiting.
	WasWaiting bool
	// Decisions are the gate's decisions; they are set for KindChange, KindTicket and KindDone.
	Decisions []rank.Decision
}

// isAdmissionKind reports whether records of this kind belong to an admission gate.
func isAdmissionKind(kind Kind) bool {
	switch kind {
	case KindGate, KindChange, KindTicket, KindDone, KindWithdraw:
		return true
	default:
		return false
	}
}

// replayAdmission replays a record of an admission gate. It creates the run's gate for KindGate, and for any other kind
// passes the record to that gate and compares the decisions.
func (p *replayer) replayAdmission(r Record) {
	if r.Gate == nil {
		p.addDifference(r, "a record of an admission", "a record without its fields")
		return
	}
	if r.Kind == KindGate {
		if p.gates[r.Run] != nil {
			p.addDifference(r, "one gate for each run", "a second gate")
			return
		}
		p.result.Runs++
		p.gates[r.Run] = admit.New(admit.Settings{})
		return
	}
	g := p.gates[r.Run]
	if g == nil {
		p.addDifference(r, "a gate of run "+fmt.Sprint(r.Run)+" before this record", "none")
		return
	}
	p.result.Outcomes++
	decisions, wasWaiting := applyAdmission(g, r)
	expected := describeDecisions(r.Gate.Decisions, r.Gate.WasWaiting)
	p.compare(r, expected, describeDecisions(decisions, wasWaiting))
}

// applyAdmission passes the input of a record to the gate and returns the gate's decisions.
func applyAdmission(g *admit.Gate, r Record) (decisions []rank.Decision, wasWaiting bool) {
	switch r.Kind {
	case KindChange:
		return g.Change(r.At, r.Gate.Settings), false
	case KindTicket:
		return g.Offer(r.At, r.Gate.Ticket), false
	case KindDone:
		return g.Done(r.At, r.Gate.Rank, r.Gate.Took), false
	default:
		return nil, g.Withdraw(r.Gate.Ticket.ID)
	}
}

// describeDecisions returns decisions as text. They are sorted by ticket id, since decisions that the gate returns
// together have no order.
func describeDecisions(decisions []rank.Decision, wasWaiting bool) string {
	texts := make([]string, 0, len(decisions)+1)
	for _, v := range decisions {
		texts = append(texts, fmt.Sprintf("ticket %06d of %s: code %d", v.Ticket.ID, v.Ticket.Rank, v.Code))
	}
	sort.Strings(texts)
	if wasWaiting {
		texts = append(texts, "withdrawn")
	}
	if len(texts) == 0 {
		return "no verdict"
	}
	return strings.Join(texts, "; ")
}
