// Package route sends attempts to endpoints. An attempt goes through the entry VM that owns the endpoint and holds
// the only queue in front of it, or directly while that VM can't be used. docs/design/limits.md explains why.
package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
	"basilspan/internal/policy/rank"
)

const (
	// maxWaitingCalls is how many calls of one rank may wait for an endpoint.
	maxWaitingCalls = 512
	// nonOwnerCeiling is how many calls a VM may have in flight to an endpoint that another VM owns.
	nonOwnerCeiling = 1
	// maxOwnersTried is how many owners are tried for one attempt before the endpoint is called directly.
	maxOwnersTried = 2
)

// Router sends attempts to endpoints. The function fields are its seams.
type Router struct {
	Now     func() time.Time
	Self    unit.NodeID
	Views   *view.Store
	Metrics *metric.Set
	// CallEndpoint calls an endpoint from this entry VM and waits for the result.
	CallEndpoint func(ctx context.Context, call endpoint.Call) fanout.Reply
	// CallPeer calls a method of another entry VM.
	CallPeer func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error

	settings  Settings
	queues    endpointQueues
	peers     peers
	index     atomic.Pointer[index]
	quit      chan struct{}
	wg        sync.WaitGroup
	forwarded forwardedCalls
}

// New returns a router that handles the calls of other entry VMs on link. The link must not have been started.
func New(settings Settings, link *peer.Link) *Router {
	r := &Router{settings: settings, CallPeer: link.Call, quit: make(chan struct{})}
	peer.Handle(link, methodLeaf, r.handleLeaf)
	peer.Handle(link, methodPing, func(context.Context, wirePing) (wirePing, error) { return wirePing{}, nil })
	return r
}

// Service returns the router as a service with the given name.
func (r *Router) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: r, Start: r.start, Close: r.close}
}

// start begins to check the peers.
func (r *Router) start(context.Context) error {
	r.peers.wake = make(chan struct{}, 1)
	r.wg.Add(1)
	go r.watchPeers()
	return nil
}

// close rejects further calls of other entry VMs, waits for those in flight, and stops the checks of the peers.
func (r *Router) close() error {
	r.forwarded.close()
	close(r.quit)
	r.wg.Wait()
	return nil
}

// Send makes one attempt and waits for its result. In shared mode this VM calls the endpoint itself, with its share
// of the endpoint's capacity. Otherwise it sends the attempt to the owner, and calls the endpoint directly if no
// owner can be used.
//
// The counter route.detour counts the attempts that an owner did not complete and that are made in another way, and
// route.direct those made directly because no owner completed them.
func (r *Router) Send(ctx context.Context, call endpoint.Call) fanout.Reply {
	if r.settings.Mode == ownership.ModeShared {
		return r.callLocally(ctx, call, r.sharedCeiling(call))
	}
	e, v := r.lookUpEndpoint(call)
	for range maxOwnersTried {
		owner, ok := r.owner(v, e)
		if !ok {
			break
		}
		if owner.ID == r.Self {
			return r.callLocally(ctx, call, r.ownerCeiling(e.Slots))
		}
		reply, final := r.tryOwner(ctx, owner, call)
		if final {
			return reply
		}
		r.Metrics.Add("route.detour", 1)
	}
	r.Metrics.Add("route.direct", 1)
	return r.callLocally(ctx, call, nonOwnerCeiling)
}

// owner returns the owner of an endpoint among this VM and the members that calls may be sent to.
func (r *Router) owner(v *view.View, e catalog.Endpoint) (member.Member, bool) {
	return ownership.Owner(v.Members, e, func(m member.Member) bool {
		return m.ID == r.Self || r.peers.usable(m)
	})
}

// ownerCeiling returns how many calls the owner may have in flight to an endpoint with that many slots.
func (r *Router) ownerCeiling(slots unit.Slots) int {
	return max(1, int(slots)+r.settings.Extra)
}

// sharedCeiling returns this VM's share of the calls in flight to an endpoint in shared mode, at least one.
func (r *Router) sharedCeiling(call endpoint.Call) int {
	e, v := r.lookUpEndpoint(call)
	live := max(1, ownership.CountLive(v.Members))
	return max(1, (r.ownerCeiling(e.Slots)+live/2)/live)
}

// callLocally calls the endpoint from this VM once the endpoint's queue admits the call. The counter route.refused
// counts the calls that the queue does not admit.
func (r *Router) callLocally(ctx context.Context, call endpoint.Call, ceiling int) fanout.Reply {
	reply := fanout.Reply{Attempt: call.Attempt.ID}
	now := r.Now()
	e, v := r.lookUpEndpoint(call)
	limits := queueLimits{ceiling: ceiling, slots: e.Slots, revision: v.Revision, ranks: r.ranks(v)}
	queue := r.queues.get(now, call.Attempt.Endpoint)
	ticket := rank.Ticket{Rank: call.Query.Rank, Deadline: call.Query.Deadline}
	if reply.Code = queue.wait(ctx, now, limits, ticket); reply.Code != unit.CodeWhole {
		r.Metrics.Add("route.refused", 1)
		return reply
	}
	startedAt := r.Now()
	if reply.Code = r.recheck(call, startedAt); reply.Code != 0 {
		queue.release(startedAt, reply.Code, 0)
		return reply
	}
	reply = r.CallEndpoint(ctx, call)
	endedAt := r.Now()
	queue.release(endedAt, reply.Code, endedAt.Sub(startedAt))
	return reply
}

// recheck returns the reason not to make a call that has been admitted, or 0. The deadline may have passed and the
// endpoint may have begun to leave while the call waited.
func (r *Router) recheck(call endpoint.Call, now time.Time) unit.Code {
	if !now.Before(call.Query.Deadline) {
		return unit.CodeTooLate
	}
	if r.Views.Load().Leaving[call.Attempt.Endpoint] {
		return unit.CodeDraining
	}
	return 0
}
