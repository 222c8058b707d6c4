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

// The methods that entry VMs call on each other to reach an endpoint.
const (
	// methodLeaf makes an attempt at an endpoint. It is sent to the endpoint's owner.
	methodLeaf peer.Method = "leaf"
	// methodPing probes whether a suspected entry VM responds again.
	methodPing peer.Method = "ping"
)

type (
	wirePing struct{}

	// wireLeaf is the request of methodLeaf: one attempt at an endpoint.
	wireLeaf struct {
		Request  string `json:"request"`
		Search   string `json:"search"`
		Rank     string `json:"rank"`
		Attempt  uint32 `json:"attempt"`
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Snapshot uint64 `json:"snapshot"`
		// RemainingMicros is the time until the deadline when the request is sent, in microseconds.
		RemainingMicros int64  `json:"left"`
		Once            bool   `json:"once,omitempty"`
		Body            []byte `json:"body,omitempty"`
	}

	// wireReply is the response of methodLeaf: the result of the attempt.
	wireReply struct {
		Code     int    `json:"code"`
		Shard    string `json:"shard,omitempty"`
		Snapshot uint64 `json:"snapshot,omitempty"`
		Body     []byte `json:"body,omitempty"`
	}
)

// errOwnerSuspected is the cancellation cause of a call whose owner has become suspected.
var errOwnerSuspected = errors.New("the owner VM stopped responding")

// tryOwner sends the attempt to the endpoint's owner and waits for the result. final is false when the attempt may be
// made in another way: the owner did not run it, or the owner was lost and the request is idempotent.
//
// The counter route.hop counts the attempts that are sent to an owner.
func (r *Router) tryOwner(
	ctx context.Context, owner member.Member, call endpoint.Call,
) (reply fanout.Reply, final bool) {
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

// callOwner calls methodLeaf on the owner. The call of an idempotent request ends early when the owner becomes
// suspected. A request that must run at most once keeps waiting: the reply may still arrive, and the request must not
// be sent again.
//
// The counter route.lost counts the owners that become suspected because of a failed connection.
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
	if err != nil && ctx.Err() == nil && context.Cause(callCtx) != errOwnerSuspected &&
		r.peers.recordConnectionFailure(endedAt, owner) {
		r.Metrics.Add("route.lost", 1)
	}
	return result, err
}

// noReplyCode returns the result code of a call to the owner that failed with err.
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

// ownerDeclined reports whether the owner returned the attempt without running it because it can't act as the owner
// now. Rejections by its queue or by the endpoint don't count.
func ownerDeclined(code unit.Code) bool {
	return code == unit.CodeStopping || code == unit.CodeNoConfig || code == unit.CodeStaleView
}

// encodeCall returns the wire form of a call. The deadline is sent as the remaining time because the clocks of the
// VMs may differ.
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

// decodeCall returns the call of a message that was received at now. Its address and connection limit are not set;
// acceptForwarded adds them.
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
