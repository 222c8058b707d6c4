// Package fanout decides how one query is spread over the endpoints of its shards: which snapshot and replicas are
// asked, what follows each reply, and what the answer may claim. It reads no clock and sends nothing itself.
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

// Shard is one shard of a plan with the endpoints that may be asked, the preferred one first.
type Shard struct {
	ID       unit.ShardID
	Replicas []unit.EndpointID
	// Healthy is how many of the first Replicas are not ejected; only these are hedged to.
	Healthy int
	// AllLeaving says that the shard has endpoints and that all of them are leaving, so that there is no replica to ask.
	AllLeaving bool
}

// SnapshotPlan is one snapshot with the shards of its partitioning.
type SnapshotPlan struct {
	Snapshot unit.SnapshotID
	Shards   []Shard
}

// Options bound what a query may do beyond the first attempt at each shard.
type Options struct {
	Aim catalog.Aim
	// Minimum is the coverage below which the parts are withheld.
	Minimum unit.Share
	// HedgeAfter is the age at which an attempt is hedged; 0 means never.
	HedgeAfter time.Duration
	// Allowance is how many hedges and retries the budget has set aside for this query.
	Allowance int
	// ExpectedDuration is the time that a repeat of the whole query is expected to need.
	ExpectedDuration time.Duration
}

// Plan is what a query is to be asked, and of whom.
type Plan struct {
	Snapshot unit.SnapshotID
	Shards   []Shard
	Options  Options
	// Fallback are the versions that the whole query may be repeated on, the preferred one first.
	Fallback []SnapshotPlan
}

// MaxAttempts is the largest number of attempts that a machine makes for the plan.
func (p Plan) MaxAttempts() int {
	n := maxAttempts(p.Shards)
	for _, v := range p.Fallback {
		n += maxAttempts(v.Shards)
	}
	return n
}

func maxAttempts(shards []Shard) int {
	n := 0
	for _, s := range shards {
		n += len(s.Replicas) + reconnectAttempts
	}
	return n
}

// Part is one shard's share of an answer.
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

// Extra counts what a query cost beyond one attempt for each shard.
type Extra struct {
	Attempts int
	Hedges   int
	Retries  int
	// Restarts are the repeats of the whole query on another snapshot.
	Restarts int
	// Late are the replies to attempts that had ended already.
	Late int
	// Spent is how much of the allowance was used.
	Spent int
}

// Answer is the end of a query.
type Answer struct {
	ID       unit.RequestID
	Code     unit.Code
	Message  string
	Snapshot unit.SnapshotID
	// Asked is how many shards the snapshot has.
	Asked   int
	Parts   []Part
	Missing []Missing
	Extra   Extra
}

// Refusal gives the answer to a query of which nothing was sent.
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

// Reply is how an attempt ended.
type Reply struct {
	Attempt unit.AttemptID
	Code    unit.Code
	// Snapshot is the snapshot that the endpoint drew its reply from.
	Snapshot unit.SnapshotID
	// Shard is the shard that the endpoint says it answered for.
	Shard unit.ShardID
	Body  []byte
}

// ActionKind says what an action asks for.
type ActionKind int

// The kinds of action.
const (
	// ActionSend asks for the attempt to be sent.
	ActionSend ActionKind = iota + 1
	// ActionCancel asks for an attempt under way to be given up.
	ActionCancel
)

// Action is one thing that the machine asks its driver to do.
type Action struct {
	Kind    ActionKind
	Attempt Attempt
}
