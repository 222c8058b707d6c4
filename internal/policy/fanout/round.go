package fanout

import (
	"time"

	"basilspan/internal/core/unit"
)

// round is one pass over the shards of one snapshot.
type round struct {
	snapshot unit.SnapshotID
	shards   []*shardState
	// pending counts the shards that have an open attempt and no part yet.
	pending int
}

// newRound returns a round over the shards of a snapshot, without any attempts.
func newRound(v SnapshotPlan) *round {
	r := &round{snapshot: v.Snapshot}
	for _, shard := range v.Shards {
		r.shards = append(r.shards, &shardState{shard: shard, noAttemptCode: noAttemptCode(shard)})
	}
	return r
}

// noAttemptCode returns the result code that a shard has as long as no attempt was made at it, because it has no
// endpoint to query.
func noAttemptCode(shard Shard) unit.Code {
	if shard.AllLeaving {
		return unit.CodeDraining
	}
	return unit.CodeNoEndpoint
}

// coverage returns the share of shards that have a part, 0 for a round without shards.
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

// shardState is the state of one shard in a round.
type shardState struct {
	shard Shard
	// attemptCount is the number of attempts so far. The next attempt goes to the replica with this index, modulo the
	// number of replicas.
	attemptCount int
	// openAttempts is the number of open attempts.
	openAttempts int
	// lastSent is when the latest attempt was sent.
	lastSent time.Time
	// snapshotAbsent is set once a replica has reported that it does not hold the snapshot.
	snapshotAbsent bool
	// part is the first valid reply, nil before it arrives.
	part *Part
	// noAttemptCode is the reason that the shard is missing when no attempt was made.
	noAttemptCode unit.Code
	attempts      []*attemptState
}

// missingCode returns the reason why an answer lacks the shard: the worst code of its attempts. A shard that has a part
// in this round counts as cancelled: it has run, even if the answer is taken from another round.
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

// mayHedge reports whether the shard waits for a single attempt and has an untried healthy replica.
func (s *shardState) mayHedge() bool {
	return s.part == nil && s.openAttempts == 1 && s.attemptCount < s.shard.Healthy
}

// attemptState is one attempt, open or ended.
type attemptState struct {
	attempt Attempt
	shard   *shardState
	open    bool
	// cancelled is set while a cancelled attempt has not reported its end.
	cancelled bool
	// code is the result of the attempt, valid once it is no longer open.
	code unit.Code
}

// recordEnd records the result of an open attempt, when its reply arrives or when it is cancelled.
func (a *attemptState) recordEnd(code unit.Code) {
	a.open = false
	a.code = code
	a.shard.openAttempts--
	a.shard.snapshotAbsent = a.shard.snapshotAbsent || code == unit.CodeSnapshotAbsent
}

// recordLateEnd records a reply to an attempt that is no longer open. The first failure reported for a cancelled
// attempt replaces its code, for example when the attempt turns out not to have run.
func (a *attemptState) recordLateEnd(code unit.Code) {
	if a.cancelled && isFailure(code) {
		a.code = code
	}
	a.cancelled = false
}

// replyCode returns the code to record for a reply. A successful reply must be for the attempt's own shard and
// snapshot, otherwise it counts as CodeBadReply, and so does any code that is neither CodeWhole nor a failure.
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

// isFailure reports whether a code means that the attempt has no valid reply: it has not run, or that is unknown.
func isFailure(code unit.Code) bool {
	return code.Outcome() == unit.OutcomeNotRun || code.Outcome() == unit.OutcomeUnknown
}

// worseCode returns the worse of two codes: an unknown outcome is worse than "not run", and b is worse than a when both
// have the same outcome. Callers pass the later code as b.
func worseCode(a, b unit.Code) unit.Code {
	if b.Outcome() >= a.Outcome() {
		return b
	}
	return a
}

// addsNoLoad reports whether an attempt that ended with code cost its endpoint nothing. A retry at another replica then
// adds no load and needs no allowance.
func addsNoLoad(code unit.Code) bool {
	return code == unit.CodeNotConnected || code == unit.CodeDraining || code == unit.CodeSnapshotAbsent
}

// isConnectionFailure reports whether the attempt failed with its connection, so that the same replica may answer on
// another one.
func isConnectionFailure(code unit.Code) bool {
	return code == unit.CodeNotConnected || code == unit.CodeConnection
}
