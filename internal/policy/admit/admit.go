// Package admit decides which whole queries may run at the same time: the most urgent first, with a floor for every
// other rank, and a refusal for those that would end after their deadline.
package admit

import (
	"time"

	"basilspan/internal/core/unit"
)

// Ticket is one query that asks to run.
type Ticket struct {
	ID       uint64
	Rank     unit.RankName
	Deadline time.Time
}

// Rank is what admission needs to know of a rank.
type Rank struct {
	Urgency unit.Urgency
	Floor   unit.Share
}

// Verdict is the decision about a ticket.
type Verdict struct {
	Ticket Ticket
	// Code is CodeWhole when the query may run, and the reason when it is refused.
	Code unit.Code
}

// Settings bound one gate.
type Settings struct {
	// Running is how many queries may run at once.
	Running int
	// Waiting is how many queries of one rank may wait.
	Waiting int
	// Ranks are the configured ranks.
	Ranks map[unit.RankName]Rank
}

// Gate admits the queries of one search. It is not safe for use by several goroutines.
type Gate struct {
	settings Settings
	running  int
	waiting  map[unit.RankName][]Ticket
}

// New makes a gate.
func New(settings Settings) *Gate {
	return &Gate{settings: settings, waiting: make(map[unit.RankName][]Ticket)}
}

// Offer takes a new ticket and gives the verdicts that follow; a ticket without a verdict waits.
func (g *Gate) Offer(now time.Time, ticket Ticket) []Verdict {
	queue := g.waiting[ticket.Rank]
	if len(queue) >= g.settings.Waiting {
		return []Verdict{{Ticket: ticket, Code: unit.CodeOverloaded}}
	}
	g.waiting[ticket.Rank] = append(queue, ticket)
	return g.grant(now)
}

// Done takes the end of a running query and gives the verdicts that follow.
func (g *Gate) Done(now time.Time) []Verdict {
	g.running--
	return g.grant(now)
}

// Withdraw takes back a waiting ticket; it says false when the ticket does not wait.
func (g *Gate) Withdraw(ticket Ticket) bool {
	queue := g.waiting[ticket.Rank]
	for i, t := range queue {
		if t.ID == ticket.ID {
			g.waiting[ticket.Rank] = append(queue[:i:i], queue[i+1:]...)
			return true
		}
	}
	return false
}

// grant admits waiting tickets while there is room.
func (g *Gate) grant(now time.Time) []Verdict {
	var verdicts []Verdict
	for g.running < g.settings.Running {
		ticket, ok := g.pop()
		if !ok {
			return verdicts
		}
		if !now.Before(ticket.Deadline) {
			verdicts = append(verdicts, Verdict{Ticket: ticket, Code: unit.CodeTooLate})
			continue
		}
		g.running++
		verdicts = append(verdicts, Verdict{Ticket: ticket, Code: unit.CodeWhole})
	}
	return verdicts
}

// pop takes the oldest ticket of the most urgent rank that waits.
func (g *Gate) pop() (ticket Ticket, ok bool) {
	var best unit.RankName
	for name, queue := range g.waiting {
		if len(queue) == 0 {
			continue
		}
		if !ok || g.settings.Ranks[name].Urgency < g.settings.Ranks[best].Urgency {
			best, ok = name, true
		}
	}
	if !ok {
		return Ticket{}, false
	}
	queue := g.waiting[best]
	g.waiting[best] = queue[1:]
	return queue[0], true
}
