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

func newRound(v SnapshotPlan) *round {
	r := &round{snapshot: v.Snapshot}
	for _, shard := range v.Shards {
		r.shards = append(r.shards, &shardState{shard: shard, noAttemptCode: noAttemptCode(shard)})
	}
	return r
}

// noAttemptCode gives the code of a shard of which no endpoint is asked.
func noAttemptCode(shard Shard) unit.Code {
	if shard.AllLeaving {
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
		if s.part != nil {
			n++
		}
	}
	return unit.Share(n) / unit.Share(len(r.shards))
}

// shardState is what is known of one shard in a round.
type shardState struct {
	shard Shard
	// attemptCount counts the attempts, and so gives the replica that a further one would go to.
	attemptCount int
	openAttempts int
	// lastSent is when the newest attempt was sent.
	lastSent time.Time
	// snapshotAbsent is set once a replica has said that it does not hold the snapshot.
	snapshotAbsent bool
	// part holds the part once the first whole reply has come.
	part *Part
	// noAttemptCode is the reason that the shard is missing when it has no attempt.
	noAttemptCode unit.Code
	attempts      []*attemptState
}

// missingCode gives the code of a shard that the answer lacks: the one of its attempts that says most. A part of a round
// that was given up has run all the same.
func (s *shardState) missingCode() unit.Code {
	if s.part != nil {
		return unit.CodeCancelled
	}
	code := s.noAttemptCode
	for _, a := range s.attempts {
		code = worseCode(code, a.code)
	}
	return code
}

// mayHedge says whether the shard waits for a single attempt and has a healthy replica left.
func (s *shardState) mayHedge() bool {
	return s.part == nil && s.openAttempts == 1 && s.attemptCount < s.shard.Healthy
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

// recordEnd takes how the attempt ended.
func (a *attemptState) recordEnd(code unit.Code) {
	a.open = false
	a.code = code
	a.shard.openAttempts--
	a.shard.snapshotAbsent = a.shard.snapshotAbsent || code == unit.CodeSnapshotAbsent
}

// recordLateEnd takes the end of an attempt that was given up: if it turns out not to have run, its code says so.
func (a *attemptState) recordLateEnd(code unit.Code) {
	if a.cancelled && isFailure(code) {
		a.code = code
	}
	a.cancelled = false
}

// replyCode gives CodeWhole only for a reply of the attempt's own shard and snapshot.
func replyCode(a *attemptState, reply Reply) unit.Code {
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

// worseCode gives the code that says more: an unknown outcome outweighs "not run", and a later code an earlier one.
func worseCode(a, b unit.Code) unit.Code {
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

// isConnectionFailure says whether the same replica may answer on another connection.
func isConnectionFailure(code unit.Code) bool {
	return code == unit.CodeNotConnected || code == unit.CodeConnection
}
