package route

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/member"
)

// The methods that entry VMs call of each other for the sake of an endpoint.
const (
	// methodLeaf asks the owner of an endpoint to make an attempt.
	methodLeaf peer.Method = "leaf"
	// methodPing asks for a sign of life.
	methodPing peer.Method = "ping"
)

type (
	wirePing struct{}

	// wireLeaf is an attempt on its way to the endpoint's owner.
	wireLeaf struct {
		Request  string `json:"request"`
		Search   string `json:"search"`
		Rank     string `json:"rank"`
		Attempt  uint32 `json:"attempt"`
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Snapshot uint64 `json:"snapshot"`
		// Left is the time that is left at the moment of sending, in microseconds.
		Left int64  `json:"left"`
		Once bool   `json:"once,omitempty"`
		Body []byte `json:"body,omitempty"`
	}

	// wireReply is how the attempt ended.
	wireReply struct {
		Code     int    `json:"code"`
		Shard    string `json:"shard,omitempty"`
		Snapshot uint64 `json:"snapshot,omitempty"`
		Body     []byte `json:"body,omitempty"`
	}
)

// errSuspected ends a hop whose owner has fallen silent.
var errSuspected = errors.New("the owner has fallen silent")

// hop has the owner make the attempt. It says false when the attempt may be made in another way: the owner has not
// run it, or was lost and the request is idempotent.
func (r *Router) hop(ctx context.Context, owner member.Member, call endpoint.Call) (reply fanout.Reply, ended bool) {
	reply.Attempt = call.Attempt.ID
	now := r.Now()
	if !now.Before(call.Query.Deadline) {
		reply.Code = unit.CodeTooLate
		return reply, true
	}
	r.Metrics.Add("route.hop", 1)
	result, err := r.exchange(ctx, now, owner, call)
	if err != nil {
		reply.Code = hopFailure(ctx, err)
		return reply, ctx.Err() != nil || call.Query.Once && reply.Code.Outcome() != unit.OutcomeNotRun
	}
	reply.Code = unit.Code(result.Code)
	reply.Shard = unit.ShardID(result.Shard)
	reply.Snapshot = unit.SnapshotID(result.Snapshot)
	reply.Body = result.Body
	return reply, !declined(reply.Code)
}

// exchange calls the owner. The call of an idempotent request ends early once the owner is suspected; that of any
// other waits, since the reply may still come and nothing else may be done.
func (r *Router) exchange(
	ctx context.Context, now time.Time, owner member.Member, call endpoint.Call,
) (wireReply, error) {
	var result wireReply
	present := r.peers.sent(now, owner)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !call.Query.Once {
		stop := context.AfterFunc(present, func() { cancel(errSuspected) })
		defer stop()
	}
	err := r.Peer(callCtx, owner.Peer, methodLeaf, encode(now, call), &result)
	ended := r.Now()
	r.peers.ended(ended, owner, err == nil)
	if err != nil && ctx.Err() == nil && context.Cause(callCtx) != errSuspected && r.peers.lost(ended, owner) {
		r.Metrics.Add("route.lost", 1)
	}
	return result, err
}

// hopFailure gives the code of a hop that has no reply.
func hopFailure(ctx context.Context, err error) unit.Code {
	switch {
	case errors.Is(err, peer.ErrNotSent) && errors.Is(ctx.Err(), context.Canceled):
		return unit.CodeNotSent
	case errors.Is(err, peer.ErrNotSent) && ctx.Err() != nil:
		return unit.CodeTooLate
	case errors.Is(err, peer.ErrNotSent):
		return unit.CodeNotConnected
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unit.CodeDeadline
	case ctx.Err() != nil:
		return unit.CodeCancelled
	default:
		return unit.CodeOwnerLost
	}
}

// declined says whether the owner gave the attempt back because it can't be the owner, and not because of its queue
// or the endpoint.
func declined(code unit.Code) bool {
	return code == unit.CodeStopping || code == unit.CodeNoConfig || code == unit.CodeStaleView
}

func encode(now time.Time, call endpoint.Call) wireLeaf {
	return wireLeaf{
		Request:  string(call.Query.ID),
		Search:   string(call.Query.Search),
		Rank:     string(call.Query.Rank),
		Attempt:  uint32(call.Attempt.ID),
		Shard:    string(call.Attempt.Shard),
		Endpoint: string(call.Attempt.Endpoint),
		Snapshot: uint64(call.Attempt.Snapshot),
		Left:     call.Query.Deadline.Sub(now).Microseconds(),
		Once:     call.Query.Once,
		Body:     call.Query.Body,
	}
}

func decode(now time.Time, w wireLeaf) endpoint.Call {
	return endpoint.Call{
		Query: fanout.Query{
			ID:       unit.RequestID(w.Request),
			Search:   unit.SearchName(w.Search),
			Rank:     unit.RankName(w.Rank),
			Deadline: now.Add(time.Duration(w.Left) * time.Microsecond),
			Once:     w.Once,
			Body:     w.Body,
		},
		Attempt: fanout.Attempt{
			ID:       unit.AttemptID(w.Attempt),
			Shard:    unit.ShardID(w.Shard),
			Endpoint: unit.EndpointID(w.Endpoint),
			Snapshot: unit.SnapshotID(w.Snapshot),
		},
	}
}
