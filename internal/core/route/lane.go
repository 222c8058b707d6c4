package route

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/turn"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/limit"
	"basilspan/internal/policy/rank"
)

// queueIdleTimeout is how long the lane of an unused endpoint is kept.
const queueIdleTimeout = time.Minute

// endpointQueue is the queue in front of one endpoint with the calls that wait in it. Its line's lock guards the rest.
type endpointQueue struct {
	waitQueue turn.WaitQueue
	queue     *limit.Queue
	ceiling   int
	slots     unit.Slots
	// ranks is the configuration's own map of ranks, by which a change is noticed.
	ranks    map[unit.RankName]rank.Rank
	revision unit.Revision
	lastUsed time.Time
}

// endpointQueues holds the lane of each endpoint that this entry VM calls.
type endpointQueues struct {
	mu       sync.Mutex
	byID     map[unit.EndpointID]*endpointQueue
	prunedAt time.Time
}

// queueLimits are what a lane is to keep to.
type queueLimits struct {
	ceiling  int
	slots    unit.Slots
	revision unit.Revision
	ranks    map[unit.RankName]rank.Rank
}

// get gives the lane of an endpoint, and from time to time forgets those that are not used.
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

func (queues *endpointQueues) prune(now time.Time) {
	queues.prunedAt = now
	for id, q := range queues.byID {
		if q.isUnused(now) {
			delete(queues.byID, id)
		}
	}
}

func (q *endpointQueue) isUnused(now time.Time) bool {
	idle := false
	q.waitQueue.Update(func() []rank.Verdict {
		idle = q.queue.Idle() && now.Sub(q.lastUsed) > queueIdleTimeout
		return nil
	})
	return idle
}

// wait waits for the call's turn; CodeWhole means that it has come.
func (q *endpointQueue) wait(ctx context.Context, now time.Time, limits queueLimits, ticket rank.Ticket) unit.Code {
	return q.waitQueue.Wait(ctx, func(id uint64) []rank.Verdict {
		ticket.ID = id
		q.lastUsed = now
		verdicts := q.applyLimits(now, limits)
		return append(verdicts, q.queue.Offer(now, ticket)...)
	}, q.queue.Withdraw)
}

// release takes the end of a call that had its turn.
func (q *endpointQueue) release(now time.Time, code unit.Code, took time.Duration) {
	q.waitQueue.Update(func() []rank.Verdict { return q.queue.Done(now, code, took) })
}

// applyLimits takes over bounds that differ from the present ones.
func (q *endpointQueue) applyLimits(now time.Time, limits queueLimits) []rank.Verdict {
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
