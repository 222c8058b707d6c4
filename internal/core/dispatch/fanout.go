package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/gather"
)

// fanout is the fan-out of a request to its shards. Its goroutine drives the gather machine; the goroutines of the
// connections send it the results of its attempts.
type fanout struct {
	*job
	dispatcher *Dispatcher
	// services are the shards, all or some of the job's. endpoints holds the endpoints of each that attempts may go to:
	// those of the job's view, and those that later attempts have found in later views.
	services  []unit.ServiceName
	endpoints [][]directory.Endpoint
	// sentBefore marks the shards that the request has been sent to before; nil means none.
	sentBefore []bool
	machine    *gather.Machine
	ends       *endQueue[attemptEnd]
	// flights and replies are indexed by attempt.
	flights []*leaf.Flight
	replies []*leaf.Result
	// memory is what the replies take, until end.
	memory *memory.Hold
	// granted marks the shards that may be sent one extra attempt which counts at another VM, and grantsUsed those of
	// them that were.
	granted, grantsUsed bitmap
	// denied counts the extra attempts that the allowance did not permit.
	denied int
	// pauseAt is when run returns although the request is in progress; the zero time means never. It returns before if
	// nothing can change until then. resumeAt is the number of answered shards from which on resume returns, 0 if it is not
	// called.
	pauseAt  time.Time
	resumeAt int
	// returned marks the shards whose replies a portion has returned already.
	returned bitmap
	// returnTime is how long before the end of a planned stop's time for answers the fan-out ends.
	returnTime time.Duration
}

// attemptEnd carries the result of an attempt.
type attemptEnd struct {
	attempt gather.AttemptID
	result  *leaf.Result
}

// endQueue passes ends to the goroutine that handles them.
type endQueue[T any] struct {
	mu     sync.Mutex
	ends   []T
	closed bool
	// added has a value while there may be ends in the queue.
	added chan struct{}
}

// newEndQueue returns an empty queue with room for n ends.
func newEndQueue[T any](n int) *endQueue[T] {
	return &endQueue[T]{ends: make([]T, 0, n), added: make(chan struct{}, 1)}
}

// add adds an end, unless the queue is closed. It does not block.
func (q *endQueue[T]) add(e T) {
	q.mu.Lock()
	if !q.closed {
		q.ends = append(q.ends, e)
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// take removes and returns the first end; ok is false if there is none.
func (q *endQueue[T]) take() (e T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ends) == 0 {
		return e, false
	}
	e = q.ends[0]
	q.ends = q.ends[1:]
	return e, true
}

// close drops the ends that nobody has taken, and those that come afterwards.
func (q *endQueue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ends, q.closed = nil, true
}

// run starts the first attempts and handles results and timeouts until the machine has decided how the request ended, or
// the fan-out pauses. If ctx ends, the caller has disconnected and the request is cancelled; if it has ended before,
// nothing is sent. If a planned stop of this VM begins, the request ends in time for it.
func (f *fanout) run(ctx context.Context) {
	f.ends = newEndQueue[attemptEnd](len(f.services))
	f.flights = make([]*leaf.Flight, 0, len(f.services))
	f.replies = make([]*leaf.Result, 0, len(f.services))
	f.limitToStop()
	if ctx.Err() != nil {
		f.machine.Cancel()
		return
	}
	f.execute(f.runMachine(func(now time.Time) []gather.Action { return f.machine.Start(now) }))
	f.handleEvents(ctx)
}

// resume continues a paused fan-out until a further shard has a reply or the request has ended.
func (f *fanout) resume(ctx context.Context) {
	f.pauseAt, f.resumeAt = time.Time{}, f.machine.Answered()+1
	f.limitToStop()
	f.handleEvents(ctx)
}

// handleEvents handles results and timeouts until the machine has decided how the request ended, or the fan-out pauses.
func (f *fanout) handleEvents(ctx context.Context) {
	if f.machine.Verdict() != gather.VerdictNone || f.paused() {
		return
	}
	timer := time.NewTimer(f.untilNextTick())
	defer timer.Stop()
	stopping := f.dispatcher.stopping
	for f.machine.Verdict() == gather.VerdictNone && !f.paused() {
		select {
		case <-f.ends.added:
			f.drainEnds()
			timer.Reset(f.untilNextTick())
		case <-timer.C:
			// Results that came while this goroutine was not scheduled need no hedge.
			f.drainEnds()
			f.execute(f.runMachine(f.machine.Tick))
			timer.Reset(f.untilNextTick())
		case <-stopping:
			stopping = nil
			f.limitToStop()
			timer.Reset(f.untilNextTick())
		case <-ctx.Done():
			f.cancel()
		}
	}
}

// end gives up the replies and their memory. It is called once nothing uses them any more.
func (f *fanout) end() {
	f.ends.close()
	f.memory.Close()
}

// cancel ends the request and abandons its attempts.
func (f *fanout) cancel() {
	f.execute(f.runMachine(func(time.Time) []gather.Action { return f.machine.Cancel() }))
}

// paused reports whether run or resume returns now although the request is in progress.
func (f *fanout) paused() bool {
	if f.resumeAt > 0 {
		return f.machine.Answered() >= f.resumeAt
	}
	return !f.pauseAt.IsZero() && (!f.dispatcher.Now().Before(f.pauseAt) || f.machine.SettledUntil(f.pauseAt))
}

// limitToStop has the fan-out end in time for the planned stop, if one has begun.
func (f *fanout) limitToStop() {
	if s := f.dispatcher.schedule(); s.InProgress() {
		f.machine.Limit(s.AnswerBy.Add(-f.returnTime))
	}
}

// drainEnds handles the results that are in the queue, without waiting, before the loop looks at the timer again.
func (f *fanout) drainEnds() {
	for f.machine.Verdict() == gather.VerdictNone {
		e, ok := f.ends.take()
		if !ok {
			return
		}
		f.handleEnd(e)
	}
}

// handleEnd passes the result of an attempt to the machine and carries out the actions that follow.
func (f *fanout) handleEnd(e attemptEnd) {
	f.replies[e.attempt] = e.result
	outcome := outcomeOf(*e.result, f.route.Gathers())
	f.execute(f.runMachine(func(now time.Time) []gather.Action {
		return f.machine.RecordOutcome(now, e.attempt, outcome)
	}))
}

// runMachine calls the machine while holding the dispatcher's lock, because its choices depend on state that all
// requests share, and records the attempts to be sent. It returns a copy of the actions, as the machine may reuse their
// slice.
func (f *fanout) runMachine(run func(now time.Time) []gather.Action) []gather.Action {
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	actions := run(f.dispatcher.Now())
	for _, a := range actions {
		if a.Kind == gather.ActionSend {
			attempt := f.machine.Attempt(a.Attempt)
			f.dispatcher.endpointTracker.RecordSent(attempt.Sent, f.endpoint(attempt).ID)
			f.dispatcher.recordCold(attempt.Sent, f.endpoint(attempt))
		}
	}
	return slices.Clone(actions)
}

// untilNextTick returns the time until the machine's next timeout, or until the fan-out pauses.
func (f *fanout) untilNextTick() time.Duration {
	next := f.machine.NextTick()
	if !f.pauseAt.IsZero() && f.pauseAt.Before(next) {
		next = f.pauseAt
	}
	return max(0, next.Sub(f.dispatcher.Now()))
}

// execute carries out the machine's actions: it sends attempts and abandons them.
func (f *fanout) execute(actions []gather.Action) {
	for _, a := range actions {
		switch a.Kind {
		case gather.ActionSend:
			f.sendAttempt(a.Attempt)
		case gather.ActionAbandon:
			if flight := f.flights[a.Attempt]; flight != nil && flight.Abandon(f.dispatcher.Now()) {
				f.machine.RecordWithdrawn(a.Attempt)
			}
		}
	}
}

// sendAttempt starts the call of an attempt to its endpoint. The result goes to the dispatcher's endpoint state and
// then to ends. The call may outlive the fan-out, and must not keep its replies.
func (f *fanout) sendAttempt(id gather.AttemptID) {
	d, route, ends, hold := f.dispatcher, f.route, f.ends, f.memory
	attempt := f.machine.Attempt(id)
	endpoint, sent := f.endpoint(attempt), attempt.Sent
	service := f.services[attempt.Shard]
	for len(f.flights) <= int(id) {
		f.flights = append(f.flights, nil)
		f.replies = append(f.replies, nil)
	}
	d.Metrics.Add("attempt."+attempt.Reason.String(), 1)
	call := leaf.Call{
		Message:        f.message,
		Endpoint:       endpoint.ID,
		Address:        endpoint.Address,
		MaxConnections: f.view.ConnectionBudget(service).PerVM(endpoint.Slots),
		MaxWait:        f.machine.Params.ConnectWait(),
		Deadline:       f.machine.Params.End(),
		Allowed:        func(now time.Time) bool { return d.mayUse(now, sent, endpoint) },
	}
	f.flights[id] = d.Send(d.Now(), call, func(e leaf.Result) {
		d.recordResult(route, endpoint, sent, e)
		e.Reply.Memory.MoveTo(hold)
		ends.add(attemptEnd{attempt: id, result: &e})
	})
}

// endpoint returns the endpoint of an attempt.
func (f *fanout) endpoint(a gather.Attempt) directory.Endpoint {
	return f.endpoints[a.Shard][a.Endpoint]
}

// chooseEndpoint returns the index of the endpoint for an attempt; the bool is false if there is none with room, or if it
// would be an extra attempt that the allowance does not permit. The caller holds the dispatcher's lock. A hedge goes only to
// a healthy endpoint that was not tried yet; a retry may go to the same endpoint again if there is no other. Both choose
// from the latest view, since endpoints may have left since the request came. Cold endpoints that get no further request
// from this VM now are left out.
func (f *fanout) chooseEndpoint(now time.Time, shard int, tried []int, reason gather.Reason) (int, bool) {
	ids := make([]unit.EndpointID, 0, len(tried))
	for _, i := range tried {
		ids = append(ids, f.endpoints[shard][i].ID)
	}
	v := f.dispatcher.Views.Load()
	all := v.Endpoints[f.services[shard]]
	again := reason == gather.ReasonRetry && len(ids) > 0
	withheld := f.dispatcher.withheld(now, v, f.services[shard])
	index := f.chooseWithRoom(now, all, append(ids, withheld...), reason == gather.ReasonHedge)
	if index < 0 && again {
		index = f.chooseWithRoom(now, all, withheld, false)
	}
	if index < 0 || reason == gather.ReasonFirst && f.wasSentBefore(shard) && !f.allowExtra(now, shard) {
		return 0, false
	}
	if v != f.view {
		index = f.indexOf(shard, all[index])
	}
	return index, true
}

// chooseWithRoom returns the index of the endpoint to use among those that are not expected to be full, or -1 if there is
// none. The caller holds the dispatcher's lock.
func (f *fanout) chooseWithRoom(
	now time.Time, all []directory.Endpoint, tried []unit.EndpointID, healthyOnly bool,
) int {
	tracker := f.dispatcher.endpointTracker
	index := tracker.Choose(now, f.route.Name, all, tried, healthyOnly)
	if index < 0 || f.hasRoom(now, all[index:index+1]) {
		return index
	}
	full := slices.Clone(tried)
	for i, e := range all {
		if !f.hasRoom(now, all[i:i+1]) {
			full = append(full, e.ID)
		}
	}
	return tracker.Choose(now, f.route.Name, all, full, healthyOnly)
}

// hasRoom reports whether one endpoint is not expected to be full. For a request that yields it must not be busy either,
// so that requests which can still be on time go first. The caller holds the dispatcher's lock.
func (f *fanout) hasRoom(now time.Time, one []directory.Endpoint) bool {
	tracker := f.dispatcher.endpointTracker
	if f.machine.Yields(now) && tracker.IsBusy(one[0]) {
		return false
	}
	return !tracker.RoomAt(now, f.route.Name, one).After(now)
}

// roomAt returns when an endpoint of the shard is expected to have room. The caller holds the dispatcher's lock.
func (f *fanout) roomAt(now time.Time, shard int) time.Time {
	return f.dispatcher.endpointTracker.RoomAt(
		now, f.route.Name, f.dispatcher.Views.Load().Endpoints[f.services[shard]],
	)
}

// indexOf returns the index of an endpoint among those of the shard, to which it adds the endpoint if it is missing.
func (f *fanout) indexOf(shard int, e directory.Endpoint) int {
	all := f.endpoints[shard]
	for i, known := range all {
		if known.ID == e.ID && known.Position == e.Position {
			return i
		}
	}
	// The slice may belong to a view, which must not change.
	f.endpoints[shard] = append(slices.Clip(all), e)
	return len(all)
}

// wasSentBefore reports whether the request has been sent to the shard before this fan-out.
func (f *fanout) wasSentBefore(shard int) bool {
	return f.sentBefore != nil && f.sentBefore[shard]
}

// allowExtra reports whether an extra attempt at the shard is permitted, by the VM that asked for the portion or by the
// allowance of this VM. It counts an attempt that is permitted against either, and one that is not as denied. The caller
// holds the dispatcher's lock.
func (f *fanout) allowExtra(now time.Time, shard int) bool {
	if f.granted.has(shard) && !f.grantsUsed.has(shard) {
		f.grantsUsed.set(shard)
		return true
	}
	ok := f.dispatcher.allowance.Allow(now, f.services[shard], f.view.VMs)
	if !ok {
		f.denied++
		f.dispatcher.Metrics.Add("allowance.denied", 1)
	}
	return ok
}
