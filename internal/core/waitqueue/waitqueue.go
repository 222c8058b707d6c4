// Package waitqueue implements the queue in which goroutines wait for admission. The decision itself is made by a
// policy that uses no goroutine and no lock.
package waitqueue

import (
	"context"
	"sync"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

// WaitQueue holds the goroutines that wait for their verdicts. Its lock also guards the decision: the functions
// passed to its methods run while it is held. The zero value is ready for use.
type WaitQueue struct {
	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]chan unit.Code
}

// Wait offers a ticket and waits for its verdict. When ctx ends first, the ticket is withdrawn and the returned code
// is the reason. A verdict that was reached before the ticket could be withdrawn is returned nevertheless.
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

// withdrawalCode returns the result code of a ticket that was withdrawn because ctx ended.
func withdrawalCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.Canceled {
		return unit.CodeNotSent
	}
	return unit.CodeTooLate
}

// Update calls decide with the lock held and delivers the verdicts that it returns.
func (q *WaitQueue) Update(decide func() []rank.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(decide())
}

// enqueue registers a new ticket, offers it, and delivers the verdicts that follow. It returns the ticket's id and the
// channel for its verdict.
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

// deliver sends verdicts to the goroutines that wait for them. It never blocks: each channel has room for its one
// verdict. The caller holds mu.
func (q *WaitQueue) deliver(verdicts []rank.Verdict) {
	for _, v := range verdicts {
		if c := q.waiters[v.Ticket.ID]; c != nil {
			c <- v.Code
			delete(q.waiters, v.Ticket.ID)
		}
	}
}
