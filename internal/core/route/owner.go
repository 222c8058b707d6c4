package route

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
)

const (
	// quietTime is how long no call of another VM may have come before a closing router ends.
	quietTime = 100 * time.Millisecond
	// lingerTime bounds the wait for that.
	lingerTime = time.Second
)

// guests counts the calls that other entry VMs have under way here.
type guests struct {
	mu     sync.Mutex
	closed bool
	last   time.Time
	wg     sync.WaitGroup
}

// enter says whether a further call is taken.
func (g *guests) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = now
	if g.closed {
		return false
	}
	g.wg.Add(1)
	return true
}

func (g *guests) leave() {
	g.wg.Done()
}

// quiet gives how long no call has come.
func (g *guests) quiet(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.last)
}

// close refuses further calls and waits for those under way, and then until the other VMs have stopped asking.
func (g *guests) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
	end := time.Now().Add(lingerTime)
	for now := time.Now(); now.Before(end) && g.quiet(now) < quietTime; now = time.Now() {
		time.Sleep(quietTime - g.quiet(now))
	}
}

// answerLeaf makes an attempt for another entry VM. It always makes it from here and sends it no further, whoever it
// takes for the owner, so that no attempt goes round; as no owner it keeps to a guest's ceiling.
func (r *Router) answerLeaf(ctx context.Context, w wireLeaf) (wireReply, error) {
	now := r.Now()
	if !r.guests.enter(now) {
		return wireReply{Code: int(unit.CodeStopping)}, nil
	}
	defer r.guests.leave()
	call := decode(now, w)
	call.Query.Deadline = call.Query.Deadline.Add(-peer.Delay(ctx))
	call, ceiling, code := r.accept(call, now)
	if code != 0 {
		r.Metrics.Add("route.declined", 1)
		return wireReply{Code: int(code)}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Query.Deadline)
	defer cancel()
	reply := r.local(ctx, call, ceiling)
	return wireReply{
		Code:     int(reply.Code),
		Shard:    string(reply.Shard),
		Snapshot: uint64(reply.Snapshot),
		Body:     reply.Body,
	}, nil
}

// accept completes a call from this VM's own view and gives the ceiling that it runs under, or the reason to refuse.
func (r *Router) accept(call endpoint.Call, now time.Time) (_ endpoint.Call, ceiling int, code unit.Code) {
	if !now.Before(call.Query.Deadline) {
		return call, 0, unit.CodeTooLate
	}
	v := r.Views.Load()
	e, ok := r.current(v).endpoints[call.Attempt.Endpoint]
	if !ok {
		return call, 0, unit.CodeNoConfig
	}
	if e.Leaving || v.Leaving[e.ID] {
		return call, 0, unit.CodeDraining
	}
	call.Address = e.Address
	call.MaxConns = e.Connections
	if owner, ok := r.owner(v, e); ok && owner.ID == r.Self {
		return call, r.full(e.Slots), 0
	}
	r.Metrics.Add("route.guest", 1)
	return call, guestCeiling, 0
}
