package trace

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/admit"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

type (
	// wireGate holds the fields of an admission gate's records. Which are present depends on the kind.
	wireGate struct {
		Search   string        `json:"search,omitempty"`
		Settings *wireSettings `json:"settings,omitempty"`
		Ticket   *wireTicket   `json:"ticket,omitempty"`
		Rank     string        `json:"rank,omitempty"`
		// Took is the run time charged for a query, in microseconds.
		Took       offset         `json:"took,omitempty"`
		WasWaiting bool           `json:"found,omitempty"`
		Decisions  []wireDecision `json:"verdicts,omitempty"`
	}

	wireSettings struct {
		MaxRunning int                 `json:"running"`
		MaxWaiting int                 `json:"waiting"`
		Ranks      map[string]wireRank `json:"ranks,omitempty"`
	}

	wireRank struct {
		Urgency int     `json:"urgency"`
		Floor   float64 `json:"floor,omitempty"`
		Target  offset  `json:"target,omitempty"`
	}

	wireTicket struct {
		ID       uint64 `json:"id"`
		Rank     string `json:"rank,omitempty"`
		Deadline offset `json:"deadline"`
		// Target is absent if the ticket has none.
		Target *offset `json:"target,omitempty"`
	}

	wireDecision struct {
		Ticket wireTicket `json:"ticket"`
		Code   int        `json:"code"`
	}
)

// encodeGate returns the wire form of an admission gate's record with the fields of its kind.
func encodeGate(start time.Time, kind replay.Kind, g replay.Gate) *wireGate {
	w := &wireGate{Search: string(g.Search), Rank: string(g.Rank), Took: toOffset(g.Took), WasWaiting: g.WasWaiting}
	switch kind {
	case replay.KindChange:
		w.Settings = encodeSettings(g.Settings)
	case replay.KindTicket:
		ticket := encodeTicket(start, g.Ticket)
		w.Ticket = &ticket
	case replay.KindWithdraw:
		w.Ticket = &wireTicket{ID: g.Ticket.ID}
	}
	for _, v := range g.Decisions {
		w.Decisions = append(w.Decisions, wireDecision{Ticket: encodeTicket(start, v.Ticket), Code: int(v.Code)})
	}
	return w
}

func (w *wireGate) decode() *replay.Gate {
	g := &replay.Gate{
		Search:     unit.SearchName(w.Search),
		Rank:       unit.RankName(w.Rank),
		Took:       w.Took.duration(),
		WasWaiting: w.WasWaiting,
	}
	if w.Settings != nil {
		g.Settings = w.Settings.decode()
	}
	if w.Ticket != nil {
		g.Ticket = w.Ticket.decode()
	}
	for _, v := range w.Decisions {
		g.Decisions = append(g.Decisions, rank.Decision{Ticket: v.Ticket.decode(), Code: unit.Code(v.Code)})
	}
	return g
}

func encodeSettings(s admit.Settings) *wireSettings {
	w := &wireSettings{MaxRunning: s.MaxRunning, MaxWaiting: s.MaxWaiting, Ranks: make(map[string]wireRank, len(s.Ranks))}
	for name, r := range s.Ranks {
		w.Ranks[string(name)] = wireRank{Urgency: int(r.Urgency), Floor: float64(r.Floor), Target: toOffset(r.Target)}
	}
	return w
}

func (w *wireSettings) decode() admit.Settings {
	s := admit.Settings{
		MaxRunning: w.MaxRunning,
		MaxWaiting: w.MaxWaiting,
		Ranks:      make(map[unit.RankName]rank.Rank, len(w.Ranks)),
	}
	for name, r := range w.Ranks {
		s.Ranks[unit.RankName(name)] = rank.Rank{
			Urgency: unit.Urgency(r.Urgency), Floor: unit.Share(r.Floor), Target: r.Target.duration(),
		}
	}
	return s
}

func encodeTicket(start time.Time, t rank.Ticket) wireTicket {
	w := wireTicket{ID: t.ID, Rank: string(t.Rank), Deadline: offsetSince(start, t.Deadline)}
	if !t.Target.IsZero() {
		target := offsetSince(start, t.Target)
		w.Target = &target
	}
	return w
}

func (w wireTicket) decode() rank.Ticket {
	t := rank.Ticket{ID: w.ID, Rank: unit.RankName(w.Rank), Deadline: w.Deadline.time()}
	if w.Target != nil {
		t.Target = w.Target.time()
	}
	return t
}
