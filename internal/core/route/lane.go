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

// idleTime is how long the lane of an unused endpoint is kept.
const idleTime = time.Minute

// lane is the queue in front of one endpoint with the calls that wait in it. Its line's lock guards the rest.
type lane struct {
	line    turn.WaitQueue
	queue   *limit.Queue
	ceiling int
	slots   unit.Slots
	// ranks is the configuration's own map of ranks, by which a change is noticed.
	ranks map[unit.RankName]rank.Rank
	rev   unit.Revision
	used  time.Time
}

// lanes holds the lane of each endpoint that this entry VM calls.
type lanes struct {
	mu     sync.Mutex
	byID   map[unit.EndpointID]*lane
	pruned time.Time
}

// bounds are what a lane is to keep to.
type bounds struct {
	ceiling  int
	slots    unit.Slots
	revision unit.Revision
	ranks    map[unit.RankName]rank.Rank
}

// find gives the lane of an endpoint, and from time to time forgets those that are not used.
func (l *lanes) find(now time.Time, id unit.EndpointID) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[unit.EndpointID]*lane)
		l.pruned = now
	}
	if now.Sub(l.pruned) > idleTime {
		l.prune(now)
	}
	one := l.byID[id]
	if one == nil {
		one = &lane{used: now, queue: limit.New(limit.Settings{Ceiling: 1})}
		l.byID[id] = one
	}
	return one
}

func (l *lanes) prune(now time.Time) {
	l.pruned = now
	for id, one := range l.byID {
		if one.unused(now) {
			delete(l.byID, id)
		}
	}
}

func (l *lane) unused(now time.Time) bool {
	idle := false
	l.line.Update(func() []rank.Verdict {
		idle = l.queue.Idle() && now.Sub(l.used) > idleTime
		return nil
	})
	return idle
}

// enter waits for the call's turn; CodeWhole means that it has come.
func (l *lane) enter(ctx context.Context, now time.Time, b bounds, t rank.Ticket) unit.Code {
	return l.line.Wait(ctx, func(id uint64) []rank.Verdict {
		t.ID = id
		l.used = now
		verdicts := l.follow(now, b)
		return append(verdicts, l.queue.Offer(now, t)...)
	}, l.queue.Withdraw)
}

// leave takes the end of a call that had its turn.
func (l *lane) leave(now time.Time, code unit.Code, took time.Duration) {
	l.line.Update(func() []rank.Verdict { return l.queue.Done(now, code, took) })
}

// follow takes over bounds that differ from the present ones.
func (l *lane) follow(now time.Time, b bounds) []rank.Verdict {
	if l.ceiling == b.ceiling && l.slots == b.slots && l.rev == b.revision && l.ranks != nil {
		return nil
	}
	l.ceiling, l.slots, l.rev, l.ranks = b.ceiling, b.slots, b.revision, b.ranks
	return l.queue.Change(now, limit.Settings{
		Ceiling:    b.ceiling,
		Slots:      b.slots,
		MaxWaiting: waitingCalls,
		Ranks:      b.ranks,
	})
}
