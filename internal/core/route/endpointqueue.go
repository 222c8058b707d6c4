package route

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/core/waitqueue"
	"basilspan/internal/policy/limit"
	"basilspan/internal/policy/rank"
)

// queueIdleTimeout is how long the queue of an unused endpoint is kept.
const queueIdleTimeout = time.Minute

// endpointQueue is the queue of the calls from this entry VM to one endpoint. The lock of waitQueue guards the other
// fields.
type endpointQueue struct {
	waitQueue waitqueue.WaitQueue
	queue     *limit.Queue
	ceiling   int
	slots     unit.Slots
	// ranks holds the ranks of the limits in force. While it is nil, the limits are applied with each call.
	ranks    map[unit.RankName]rank.Rank
	revision unit.Revision
	lastUsed time.Time
}

// endpointQueues holds the queue of each endpoint that this entry VM calls.
type endpointQueues struct {
	mu       sync.Mutex
	byID     map[unit.EndpointID]*endpointQueue
	prunedAt time.Time
}

// queueLimits are the limits of an endpoint queue. They come from the current view and may change with each call.
type queueLimits struct {
	ceiling  int
	slots    unit.Slots
	revision unit.Revision
	ranks    map[unit.RankName]rank.Rank
}

// get returns the queue of an endpoint and creates it on first use. It also removes unused queues, at most once per
// queueIdleTimeout.
func (queues *endpointQueues) get(now time.Time, id unit.EndpointID) *endpointQueue {
	queues.mu.Lock()
	defer queues.mu.Unlock()
	if queues.byID == nil {
		queues.byID = make(map[unit.EndpointID]*endpointQueue)
		queues.prunedAt = now
	}
	if now.Sub(queues.prunedAt) > queueIdleTimeout {
		queues.prune(now)
	}
	q := queues.byID[id]
	if q == nil {
		q = &endpointQueue{lastUsed: now, queue: limit.New(limit.Settings{Ceiling: 1})}
		queues.byID[id] = q
	}
	return q
}

// prune removes the queues that have been idle for longer than queueIdleTimeout. The caller holds mu.
func (queues *endpointQueues) prune(now time.Time) {
	queues.prunedAt = now
	for id, q := range queues.byID {
		if q.isUnused(now) {
			delete(queues.byID, id)
		}
	}
}

// isUnused reports whether the queue is empty, has no call in flight and was last used more than queueIdleTimeout
// ago.
func (q *endpointQueue) isUnused(now time.Time) bool {
	idle := false
	q.waitQueue.Update(func() []rank.Decision {
		idle = q.queue.Idle() && now.Sub(q.lastUsed) > queueIdleTimeout
		return nil
	})
	return idle
}

// wait applies the limits and blocks until the call is admitted, which is reported as CodeWhole. Any other code is
// the reason why the call must not be made. Each admitted call must be followed by release.
func (q *endpointQueue) wait(ctx context.Context, now time.Time, limits queueLimits, ticket rank.Ticket) unit.Code {
	return q.waitQueue.Wait(ctx, func(id uint64) []rank.Decision {
		ticket.ID = id
		q.lastUsed = now
		decisions := q.applyLimits(now, limits)
		return append(decisions, q.queue.Offer(now, ticket)...)
	}, q.queue.Withdraw)
}

// release records the end of an admitted call and admits the next ones. took is the duration of the call,
// or 0 if it was not made.
func (q *endpointQueue) release(now time.Time, code unit.Code, took time.Duration) {
	q.waitQueue.Update(func() []rank.Decision { return q.queue.Done(now, code, took) })
}

// applyLimits updates the queue when the limits differ from the ones in force, and returns the decisions on waiting
// calls that follow from that.
func (q *endpointQueue) applyLimits(now time.Time, limits queueLimits) []rank.Decision {
	if q.ceiling == limits.ceiling && q.slots == limits.slots && q.revision == limits.revision && q.ranks != nil {
		return nil
	}
	q.ceiling, q.slots, q.revision, q.ranks = limits.ceiling, limits.slots, limits.revision, limits.ranks
	return q.queue.Change(now, limit.Settings{
		Ceiling:    limits.ceiling,
		Slots:      limits.slots,
		MaxWaiting: maxWaitingCalls,
		Ranks:      limits.ranks,
	})
}
