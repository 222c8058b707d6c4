// Package waitqueue implements the queue in which goroutines wait for admission. The decision itself is made by a
// policy that uses no goroutine and no lock.
package waitqueue

import (
	"context"
	"sync"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

// WaitQueue holds the goroutines that wait for the decisions on their tickets. Its lock also guards the policy that
// decides: the functions passed to its methods run while it is held. The zero value is ready for use.
type WaitQueue struct {
	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]chan unit.Code
}

// Wait offers a ticket and waits for its decision. When ctx ends first, the ticket is withdrawn and the returned code
// is the reason. A decision that was reached before the ticket could be withdrawn is returned nevertheless.
func (q *WaitQueue) Wait(
	ctx context.Context, offer func(id uint64) []rank.Decision, withdraw func(id uint64) bool,
) unit.Code {
	id, decision := q.enqueue(offer)
	select {
	case code := <-decision:
		return code
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if withdraw(id) {
		delete(q.waiters, id)
		return withdrawalCode(ctx)
	}
	return <-decision
}

// withdrawalCode returns the result code of a ticket that was withdrawn because ctx ended.
func withdrawalCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.Canceled {
		return unit.CodeNotSent
	}
	return unit.CodeTooLate
}

// Update calls decide with the lock held and delivers the decisions that it returns.
func (q *WaitQueue) Update(decide func() []rank.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(decide())
}

// enqueue registers a new ticket, offers it, and delivers the decisions that follow. It returns the ticket's id and the
// channel for its decision.
func (q *WaitQueue) enqueue(offer func(id uint64) []rank.Decision) (id uint64, decision chan unit.Code) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters == nil {
		q.waiters = make(map[uint64]chan unit.Code)
	}
	q.lastID++
	decision = make(chan unit.Code, 1)
	q.waiters[q.lastID] = decision
	id = q.lastID
	q.deliver(offer(id))
	return id, decision
}

// deliver sends decisions to the goroutines that wait for them. It never blocks: each channel has room for its one
// decision. The caller holds mu.
func (q *WaitQueue) deliver(decisions []rank.Decision) {
	for _, v := range decisions {
		if c := q.waiters[v.Ticket.ID]; c != nil {
			c <- v.Code
			delete(q.waiters, v.Ticket.ID)
		}
	}
}
