// Package fanout decides how one query is sent to the endpoints of its shards: which snapshot and replicas to query,
// what to do after each reply, and which result code the answer gets. It does no I/O and reads no clock: callers pass
// in the time and carry out the actions that it returns.
package fanout

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Query is one caller's request.
type Query struct {
	ID       unit.RequestID
	Search   unit.SearchName
	Rank     unit.RankName
	Deadline time.Time
	// Once means that the request may run at most once at each shard.
	Once bool
	Body []byte
}

// Shard is one shard of a plan with the endpoints that may be queried, in order of preference.
type Shard struct {
	ID       unit.ShardID
	Replicas []unit.EndpointID
	// Healthy is the number of replicas that are not ejected. They come first in Replicas, and hedges go only to them.
	Healthy int
	// AllLeaving means that the shard has endpoints but all of them are leaving, so Replicas is empty.
	AllLeaving bool
}

// SnapshotPlan lists the shards of one snapshot with the replicas to query for each.
type SnapshotPlan struct {
	Snapshot unit.SnapshotID
	Shards   []Shard
}

// Options limit the time and the extra attempts of a query, and set the coverage that its answer needs.
type Options struct {
	Aim catalog.Aim
	// Minimum is the coverage below which the answer fails and its parts are withheld.
	Minimum unit.Share
	// HedgeAfter is how long an attempt may be open before it is hedged; 0 disables hedging.
	HedgeAfter time.Duration
	// Allowance is the number of hedges and retries that the budget has reserved for this query.
	Allowance int
	// ExpectedDuration is how long a restart of the whole query is expected to take.
	ExpectedDuration time.Duration
}

// Plan lists what a query sends and to which endpoints.
type Plan struct {
	Snapshot unit.SnapshotID
	Shards   []Shard
	Options  Options
	// Fallback lists the snapshots on which the whole query may be restarted, in order of preference.
	Fallback []SnapshotPlan
}

// MaxAttempts returns an upper bound on the number of attempts that a Machine makes for the plan.
func (p Plan) MaxAttempts() int {
	n := maxAttempts(p.Shards)
	for _, v := range p.Fallback {
		n += maxAttempts(v.Shards)
	}
	return n
}

// maxAttempts returns an upper bound on the number of attempts in one round over shards.
func maxAttempts(shards []Shard) int {
	n := 0
	for _, s := range shards {
		n += len(s.Replicas) + reconnectAttempts
	}
	return n
}

// Part is the reply of one shard within an answer.
type Part struct {
	Shard    unit.ShardID
	Endpoint unit.EndpointID
	Body     []byte
}

// Missing is a shard that an answer lacks, with the reason.
type Missing struct {
	Shard unit.ShardID
	Code  unit.Code
}

// Extra counts the attempts of a query and the extra work among them.
type Extra struct {
	// Attempts counts all attempts, the first one at each shard included.
	Attempts int
	Hedges   int
	Retries  int
	// Restarts counts the restarts of the whole query on another snapshot.
	Restarts int
	// Late counts replies to attempts that had already ended.
	Late int
	// Spent is how much of the allowance was used.
	Spent int
}

// Answer is the result of a query.
type Answer struct {
	ID       unit.RequestID
	Code     unit.Code
	Message  string
	Snapshot unit.SnapshotID
	// Asked is the number of shards of the snapshot.
	Asked   int
	Parts   []Part
	Missing []Missing
	Extra   Extra
}

// Refusal returns the answer to a query that is refused before anything is sent.
func Refusal(id unit.RequestID, code unit.Code, message string) Answer {
	return Answer{ID: id, Code: code, Message: message}
}

// Attempt is one call to one endpoint.
type Attempt struct {
	ID       unit.AttemptID
	Shard    unit.ShardID
	Endpoint unit.EndpointID
	Snapshot unit.SnapshotID
}

// Reply is the result of an attempt: the endpoint's response, or the failure that ended the attempt.
type Reply struct {
	Attempt unit.AttemptID
	Code    unit.Code
	// Snapshot is the snapshot that the endpoint searched.
	Snapshot unit.SnapshotID
	// Shard is the shard that the endpoint reports to have searched.
	Shard unit.ShardID
	Body  []byte
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// ActionSend means that the attempt must be sent.
	ActionSend ActionKind = iota + 1
	// ActionCancel means that an open attempt must be cancelled.
	ActionCancel
)

// Action is one step that a Machine returns for its caller to carry out.
type Action struct {
	Kind    ActionKind
	Attempt Attempt
}
