// Package turn makes goroutines wait for the verdicts of a decision, which itself knows no goroutine and no lock.
package turn

import (
	"context"
	"sync"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

// Line is where goroutines wait for their verdicts. Its lock also guards the decision that the functions passed to
// its methods call.
type Line struct {
	mu   sync.Mutex
	next uint64
	wait map[uint64]chan unit.Code
}

// Take asks for a turn and waits for the verdict. When ctx ends first, the ticket is withdrawn and the code says
// why; a verdict that came at the same moment holds.
func (l *Line) Take(
	ctx context.Context, offer func(id uint64) []rank.Verdict, withdraw func(id uint64) bool,
) unit.Code {
	id, verdict := l.ask(offer)
	select {
	case code := <-verdict:
		return code
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if withdraw(id) {
		delete(l.wait, id)
		return withdrawn(ctx)
	}
	return <-verdict
}

// withdrawn gives the code of a ticket that was taken back when ctx ended.
func withdrawn(ctx context.Context) unit.Code {
	if ctx.Err() == context.Canceled {
		return unit.CodeNotSent
	}
	return unit.CodeTooLate
}

// Do calls decide and hands out the verdicts that follow.
func (l *Line) Do(decide func() []rank.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tell(decide())
}

func (l *Line) ask(offer func(id uint64) []rank.Verdict) (id uint64, verdict chan unit.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wait == nil {
		l.wait = make(map[uint64]chan unit.Code)
	}
	l.next++
	verdict = make(chan unit.Code, 1)
	l.wait[l.next] = verdict
	id = l.next
	l.tell(offer(id))
	return id, verdict
}

// tell hands out verdicts; each channel has room for its one.
func (l *Line) tell(verdicts []rank.Verdict) {
	for _, v := range verdicts {
		if c := l.wait[v.Ticket.ID]; c != nil {
			c <- v.Code
			delete(l.wait, v.Ticket.ID)
		}
	}
}
