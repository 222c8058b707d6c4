// Package turn makes goroutines wait for the verdicts of a decision, which itself knows no goroutine and no lock.
package turn

import (
	"context"
	"sync"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

// WaitQueue is where goroutines wait for their verdicts. Its lock also guards the decision that the functions passed to
// its methods call.
type WaitQueue struct {
	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]chan unit.Code
}

// Wait asks for a turn and waits for the verdict. When ctx ends first, the ticket is withdrawn and the code says
// why; a verdict that came at the same moment holds.
func (q *WaitQueue) Wait(
	ctx context.Context, offer func(id uint64) []rank.Verdict, withdraw func(id uint64) bool,
) unit.Code {
	id, verdict := q.enqueue(offer)
	select {
	case code := <-verdict:
		return code
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if withdraw(id) {
		delete(q.waiters, id)
		return withdrawalCode(ctx)
	}
	return <-verdict
}

// withdrawalCode gives the code of a ticket that was taken back when ctx ended.
func withdrawalCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.Canceled {
		return unit.CodeNotSent
	}
	return unit.CodeTooLate
}

// Update calls decide and hands out the verdicts that follow.
func (q *WaitQueue) Update(decide func() []rank.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(decide())
}

func (q *WaitQueue) enqueue(offer func(id uint64) []rank.Verdict) (id uint64, verdict chan unit.Code) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters == nil {
		q.waiters = make(map[uint64]chan unit.Code)
	}
	q.lastID++
	verdict = make(chan unit.Code, 1)
	q.waiters[q.lastID] = verdict
	id = q.lastID
	q.deliver(offer(id))
	return id, verdict
}

// deliver hands out verdicts; each channel has room for its one.
func (q *WaitQueue) deliver(verdicts []rank.Verdict) {
	for _, v := range verdicts {
		if c := q.waiters[v.Ticket.ID]; c != nil {
			c <- v.Code
			delete(q.waiters, v.Ticket.ID)
		}
	}
}
