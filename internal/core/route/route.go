// Package route sends an attempt to its endpoint: through the entry VM that owns the endpoint, which is the only queue
// in front of it, or directly while that VM can't be used. docs/design/limits.md says why.
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
	"basilspan/internal/policy/place"
	"basilspan/internal/policy/rank"
)

const (
	// maxWaitingCalls is how many calls of one rank may wait for an endpoint.
	maxWaitingCalls = 512
	// nonOwnerCeiling is how many calls a VM has under way at an endpoint that another VM owns.
	nonOwnerCeiling = 1
	// maxOwnersTried is how many owners are tried for one attempt before it is made directly.
	maxOwnersTried = 2
)

// Router sends attempts. The function fields are its seams.
type Router struct {
	Now     func() time.Time
	Self    unit.NodeID
	Views   *view.Store
	Metrics *metric.Set
	// CallEndpoint makes one call of an endpoint from this entry VM and waits for its end.
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

// New makes a router that answers other entry VMs by link; link must not have been started.
func New(settings Settings, link *peer.Link) *Router {
	r := &Router{settings: settings, CallPeer: link.Call, quit: make(chan struct{})}
	peer.Handle(link, methodLeaf, r.handleLeaf)
	peer.Handle(link, methodPing, func(context.Context, wirePing) (wirePing, error) { return wirePing{}, nil })
	return r
}

// Service gives the router as a service with that name.
func (r *Router) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: r, Start: r.start, Close: r.close}
}

func (r *Router) start(context.Context) error {
	r.peers.wake = make(chan struct{}, 1)
	r.wg.Add(1)
	go r.watchPeers()
	return nil
}

// close refuses the calls of other entry VMs, waits for those under way, and ends.
func (r *Router) close() error {
	r.forwarded.close()
	close(r.quit)
	r.wg.Wait()
	return nil
}

// Send makes one attempt and waits for its end.
func (r *Router) Send(ctx context.Context, call endpoint.Call) fanout.Reply {
	if r.settings.Mode == place.ModeShared {
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

// owner gives the owner of an endpoint among the members that this VM may use.
func (r *Router) owner(v *view.View, e catalog.Endpoint) (member.Member, bool) {
	return place.Owner(v.Members, e, func(m member.Member) bool {
		return m.ID == r.Self || r.peers.usable(m)
	})
}

// ownerCeiling gives the ceiling of an endpoint's owner.
func (r *Router) ownerCeiling(slots unit.Slots) int {
	return max(1, int(slots)+r.settings.Extra)
}

// sharedCeiling gives one entry VM's part of the calls under way at an endpoint, at least one.
func (r *Router) sharedCeiling(call endpoint.Call) int {
	e, v := r.lookUpEndpoint(call)
	live := max(1, place.CountLive(v.Members))
	return max(1, (r.ownerCeiling(e.Slots)+live/2)/live)
}

// callLocally makes the call from this entry VM once its turn has come.
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

// recheck gives the reason not to send a call whose turn has come, or 0: what held when it began to wait may have
// changed.
func (r *Router) recheck(call endpoint.Call, now time.Time) unit.Code {
	if !now.Before(call.Query.Deadline) {
		return unit.CodeTooLate
	}
	if r.Views.Load().Leaving[call.Attempt.Endpoint] {
		return unit.CodeDraining
	}
	return 0
}
