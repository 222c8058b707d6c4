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
		// RemainingMicros is the time that is left at the moment of sending, in microseconds.
		RemainingMicros int64  `json:"left"`
		Once            bool   `json:"once,omitempty"`
		Body            []byte `json:"body,omitempty"`
	}

	// wireReply is how the attempt ended.
	wireReply struct {
		Code     int    `json:"code"`
		Shard    string `json:"shard,omitempty"`
		Snapshot uint64 `json:"snapshot,omitempty"`
		Body     []byte `json:"body,omitempty"`
	}
)

// errOwnerSuspected ends a hop whose owner has fallen silent.
var errOwnerSuspected = errors.New("the owner has fallen silent")

// tryOwner has the owner make the attempt. It says false when the attempt may be made in another way: the owner has not
// run it, or was lost and the request is idempotent.
func (r *Router) tryOwner(ctx context.Context, owner member.Member, call endpoint.Call) (reply fanout.Reply, final bool) {
	reply.Attempt = call.Attempt.ID
	now := r.Now()
	if !now.Before(call.Query.Deadline) {
		reply.Code = unit.CodeTooLate
		return reply, true
	}
	r.Metrics.Add("route.hop", 1)
	result, err := r.callOwner(ctx, now, owner, call)
	if err != nil {
		reply.Code = noReplyCode(ctx, err)
		return reply, ctx.Err() != nil || call.Query.Once && reply.Code.Outcome() != unit.OutcomeNotRun
	}
	reply.Code = unit.Code(result.Code)
	reply.Shard = unit.ShardID(result.Shard)
	reply.Snapshot = unit.SnapshotID(result.Snapshot)
	reply.Body = result.Body
	return reply, !ownerDeclined(reply.Code)
}

// callOwner calls the owner. The call of an idempotent request ends early once the owner is suspected; that of any
// other waits, since the reply may still come and nothing else may be done.
func (r *Router) callOwner(
	ctx context.Context, now time.Time, owner member.Member, call endpoint.Call,
) (wireReply, error) {
	var result wireReply
	trustedCtx := r.peers.recordSent(now, owner)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !call.Query.Once {
		stop := context.AfterFunc(trustedCtx, func() { cancel(errOwnerSuspected) })
		defer stop()
	}
	err := r.CallPeer(callCtx, owner.Peer, methodLeaf, encodeCall(now, call), &result)
	endedAt := r.Now()
	r.peers.recordEnded(endedAt, owner, err == nil)
	if err != nil && ctx.Err() == nil && context.Cause(callCtx) != errOwnerSuspected && r.peers.recordConnectionFailure(endedAt, owner) {
		r.Metrics.Add("route.lost", 1)
	}
	return result, err
}

// noReplyCode gives the code of a hop that has no reply.
func noReplyCode(ctx context.Context, err error) unit.Code {
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

// ownerDeclined says whether the owner gave the attempt back because it can't be the owner, and not because of its queue
// or the endpoint.
func ownerDeclined(code unit.Code) bool {
	return code == unit.CodeStopping || code == unit.CodeNoConfig || code == unit.CodeStaleView
}

func encodeCall(now time.Time, call endpoint.Call) wireLeaf {
	return wireLeaf{
		Request:         string(call.Query.ID),
		Search:          string(call.Query.Search),
		Rank:            string(call.Query.Rank),
		Attempt:         uint32(call.Attempt.ID),
		Shard:           string(call.Attempt.Shard),
		Endpoint:        string(call.Attempt.Endpoint),
		Snapshot:        uint64(call.Attempt.Snapshot),
		RemainingMicros: call.Query.Deadline.Sub(now).Microseconds(),
		Once:            call.Query.Once,
		Body:            call.Query.Body,
	}
}

func decodeCall(now time.Time, w wireLeaf) endpoint.Call {
	return endpoint.Call{
		Query: fanout.Query{
			ID:       unit.RequestID(w.Request),
			Search:   unit.SearchName(w.Search),
			Rank:     unit.RankName(w.Rank),
			Deadline: now.Add(time.Duration(w.RemainingMicros) * time.Microsecond),
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
