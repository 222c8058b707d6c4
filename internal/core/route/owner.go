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
	// quietPeriod is how long no call of another VM may have come before a closing router ends.
	quietPeriod = 100 * time.Millisecond
	// maxLinger bounds the wait for that.
	maxLinger = time.Second
)

// forwardedCalls counts the calls that other entry VMs have under way here.
type forwardedCalls struct {
	mu       sync.Mutex
	closed   bool
	lastCall time.Time
	wg       sync.WaitGroup
}

// begin says whether a further call is taken.
func (f *forwardedCalls) begin(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCall = now
	if f.closed {
		return false
	}
	f.wg.Add(1)
	return true
}

func (f *forwardedCalls) end() {
	f.wg.Done()
}

// sinceLastCall gives how long no call has come.
func (f *forwardedCalls) sinceLastCall(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastCall)
}

// close refuses further calls and waits for those under way, and then until the other VMs have stopped asking.
func (f *forwardedCalls) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.wg.Wait()
	end := time.Now().Add(maxLinger)
	for now := time.Now(); now.Before(end) && f.sinceLastCall(now) < quietPeriod; now = time.Now() {
		time.Sleep(quietPeriod - f.sinceLastCall(now))
	}
}

// handleLeaf makes an attempt for another entry VM. It always makes it from here and sends it no further, whoever it
// takes for the owner, so that no attempt goes round; as no owner it keeps to a guest's ceiling.
func (r *Router) handleLeaf(ctx context.Context, w wireLeaf) (wireReply, error) {
	now := r.Now()
	if !r.forwarded.begin(now) {
		return wireReply{Code: int(unit.CodeStopping)}, nil
	}
	defer r.forwarded.end()
	call := decodeCall(now, w)
	call.Query.Deadline = call.Query.Deadline.Add(-peer.QueueingDelay(ctx))
	call, ceiling, code := r.acceptForwarded(call, now)
	if code != 0 {
		r.Metrics.Add("route.declined", 1)
		return wireReply{Code: int(code)}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Query.Deadline)
	defer cancel()
	reply := r.callLocally(ctx, call, ceiling)
	return wireReply{
		Code:     int(reply.Code),
		Shard:    string(reply.Shard),
		Snapshot: uint64(reply.Snapshot),
		Body:     reply.Body,
	}, nil
}

// acceptForwarded completes a call from this VM's own view and gives the ceiling that it runs under, or the reason to refuse.
func (r *Router) acceptForwarded(call endpoint.Call, now time.Time) (_ endpoint.Call, ceiling int, code unit.Code) {
	if !now.Before(call.Query.Deadline) {
		return call, 0, unit.CodeTooLate
	}
	v := r.Views.Load()
	e, ok := r.currentIndex(v).endpoints[call.Attempt.Endpoint]
	if !ok {
		return call, 0, unit.CodeNoConfig
	}
	if e.Leaving || v.Leaving[e.ID] {
		return call, 0, unit.CodeDraining
	}
	call.Address = e.Address
	call.MaxConns = e.Connections
	if owner, ok := r.owner(v, e); ok && owner.ID == r.Self {
		return call, r.ownerCeiling(e.Slots), 0
	}
	r.Metrics.Add("route.guest", 1)
	return call, nonOwnerCeiling, 0
}
