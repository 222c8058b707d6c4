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
	// quietPeriod is how long no call may have arrived from another VM before a closing router finishes.
	quietPeriod = 100 * time.Millisecond
	// maxLinger bounds the wait for quietPeriod.
	maxLinger = time.Second
)

// forwardedCalls counts the calls in flight that other entry VMs have forwarded to this one.
type forwardedCalls struct {
	mu       sync.Mutex
	closed   bool
	lastCall time.Time
	wg       sync.WaitGroup
}

// begin records a call and reports whether it is accepted. Calls are rejected once close has been called. Each
// accepted call must be followed by end.
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

// end records the end of a call that begin has accepted; close waits for it.
func (f *forwardedCalls) end() {
	f.wg.Done()
}

// sinceLastCall returns the time since the last call arrived, whether it was accepted or not.
func (f *forwardedCalls) sinceLastCall(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastCall)
}

// close rejects further calls and waits for those in flight. It then waits until the other VMs have sent no call for
// quietPeriod, at most for maxLinger, so that they receive a rejection instead of a closed connection.
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

// handleLeaf makes an attempt for another entry VM. It always calls the endpoint itself and never forwards the
// attempt, whichever VM it considers the owner, so that attempts can't loop between VMs. The time that the
// message waited to be read counts against the deadline.
//
// The counter route.declined counts the attempts that it rejects because the deadline has passed or because of its
// view.
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

// acceptForwarded completes a forwarded call from this VM's own view. It returns the ceiling for the calls in flight,
// or the code that rejects the call. A VM that does not consider itself the owner uses nonOwnerCeiling; the counter
// route.guest counts these calls.
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
