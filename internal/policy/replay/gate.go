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

// The kinds of the admission of one search's queries.
const (
	// KindGate is a new gate, without settings and with nothing that waits or runs.
	KindGate Kind = "gate"
	// KindChange is a change of the gate's settings with the verdicts that followed.
	KindChange Kind = "change"
	// KindTicket is a query that asks to run with the verdicts that followed.
	KindTicket Kind = "ticket"
	// KindDone is the end of a running query with the verdicts that followed.
	KindDone Kind = "done"
	// KindWithdraw is a waiting query that gives up.
	KindWithdraw Kind = "withdraw"
)

// Gate holds the fields of the records of an admission.
type Gate struct {
	// Search belongs to KindGate.
	Search unit.SearchName
	// Settings belong to KindChange.
	Settings admit.Settings
	// Ticket belongs to KindTicket; its id alone to KindWithdraw.
	Ticket rank.Ticket
	// Rank and Took belong to KindDone: whose query has ended, and after how long.
	Rank unit.RankName
	Took time.Duration
	// WasWaiting belongs to KindWithdraw: whether the query still waited.
	WasWaiting bool
	// Verdicts are what the gate decided.
	Verdicts []rank.Verdict
}

// isAdmissionKind says whether a kind is of an admission.
func isAdmissionKind(kind Kind) bool {
	switch kind {
	case KindGate, KindChange, KindTicket, KindDone, KindWithdraw:
		return true
	default:
		return false
	}
}

// replayAdmission replays a record of the admission.
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
	verdicts, found := applyAdmission(g, r)
	expected := describeVerdicts(r.Gate.Verdicts, r.Gate.WasWaiting)
	p.compare(r, expected, describeVerdicts(verdicts, found))
}

// applyAdmission hands one input to the gate and gives what it decides.
func applyAdmission(g *admit.Gate, r Record) (verdicts []rank.Verdict, found bool) {
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

// describeVerdicts gives verdicts as text, in the order of the tickets' ids: they are handed out at the same moment.
func describeVerdicts(verdicts []rank.Verdict, found bool) string {
	texts := make([]string, 0, len(verdicts)+1)
	for _, v := range verdicts {
		texts = append(texts, fmt.Sprintf("ticket %06d of %s: code %d", v.Ticket.ID, v.Ticket.Rank, v.Code))
	}
	sort.Strings(texts)
	if found {
		texts = append(texts, "withdrawn")
	}
	if len(texts) == 0 {
		return "no verdict"
	}
	return strings.Join(texts, "; ")
}
