package fanout

import (
	"time"

	"basilspan/internal/core/unit"
)

// round is one pass over the shards of one snapshot.
type round struct {
	snapshot unit.SnapshotID
	shards   []*shardState
	// pending counts the shards with an attempt under way and no part yet.
	pending int
}

func newRound(v Version) *round {
	r := &round{snapshot: v.Snapshot}
	for _, shard := range v.Shards {
		r.shards = append(r.shards, &shardState{shard: shard, unasked: unasked(shard)})
	}
	return r
}

// unasked gives the code of a shard of which no endpoint is asked.
func unasked(shard Shard) unit.Code {
	if shard.Leaving {
		return unit.CodeDraining
	}
	return unit.CodeNoEndpoint
}

// coverage gives the share of the shards that have a part.
func (r *round) coverage() unit.Share {
	if len(r.shards) == 0 {
		return 0
	}
	n := 0
	for _, s := range r.shards {
		if s.answered != nil {
			n++
		}
	}
	return unit.Share(n) / unit.Share(len(r.shards))
}

// shardState is what is known of one shard in a round.
type shardState struct {
	shard Shard
	// next counts the attempts, and so gives the replica that a further one would go to.
	next int
	open int
	// sent is when the newest attempt was sent.
	sent time.Time
	// absent is set once a replica has said that it does not hold the snapshot.
	absent bool
	// answered holds the part once the first whole reply has come.
	answered *Part
	// unasked is the reason that the shard is missing when it has no attempt.
	unasked  unit.Code
	attempts []*attemptState
}

// reason gives the code of a shard that the answer lacks: the one of its attempts that says most. A part of a round
// that was given up has run all the same.
func (s *shardState) reason() unit.Code {
	if s.answered != nil {
		return unit.CodeCancelled
	}
	code := s.unasked
	for _, a := range s.attempts {
		code = worse(code, a.code)
	}
	return code
}

// mayHedge says whether the shard waits for a single attempt and has a healthy replica left.
func (s *shardState) mayHedge() bool {
	return s.answered == nil && s.open == 1 && s.next < s.shard.Healthy
}

// attemptState is one attempt under way or ended.
type attemptState struct {
	attempt Attempt
	shard   *shardState
	open    bool
	// cancelled is set when the attempt was given up and its end has not come in yet.
	cancelled bool
	// code is how the attempt ended, once it is not open.
	code unit.Code
}

// end takes how the attempt ended.
func (a *attemptState) end(code unit.Code) {
	a.open = false
	a.code = code
	a.shard.open--
	a.shard.absent = a.shard.absent || code == unit.CodeSnapshotAbsent
}

// late takes the end of an attempt that was given up: if it turns out not to have run, its code says so.
func (a *attemptState) late(code unit.Code) {
	if a.cancelled && isFailure(code) {
		a.code = code
	}
	a.cancelled = false
}

// check gives CodeWhole only for a reply of the attempt's own shard and snapshot.
func check(a *attemptState, reply Reply) unit.Code {
	switch {
	case reply.Code != unit.CodeWhole && isFailure(reply.Code):
		return reply.Code
	case reply.Code != unit.CodeWhole:
		return unit.CodeBadReply
	case reply.Shard != a.attempt.Shard || reply.Snapshot != a.attempt.Snapshot:
		return unit.CodeBadReply
	default:
		return unit.CodeWhole
	}
}

func isFailure(code unit.Code) bool {
	return code.Outcome() == unit.OutcomeNotRun || code.Outcome() == unit.OutcomeUnknown
}

// worse gives the code that says more: an unknown outcome outweighs "not run", and a later code an earlier one.
func worse(a, b unit.Code) unit.Code {
	if b.Outcome() >= a.Outcome() {
		return b
	}
	return a
}

// addsNoLoad says whether the attempt that ended with code cost its endpoint nothing and another replica is to do
// the work instead, so that a retry is no extra load.
func addsNoLoad(code unit.Code) bool {
	return code == unit.CodeNotConnected || code == unit.CodeDraining || code == unit.CodeSnapshotAbsent
}

// connectionLost says whether the same replica may answer on another connection.
func connectionLost(code unit.Code) bool {
	return code == unit.CodeNotConnected || code == unit.CodeConnection
}
