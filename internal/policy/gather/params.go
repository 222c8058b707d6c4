// Package gather decides how one request is served by the endpoints of one or more services, which are its shards
// (scatter-gather): which endpoint each shard is sent to, when an attempt is hedged or retried, and when the answer
// is final. A request for a single service has one shard. The package sends nothing itself and reads no clock.
package gather

import (
	"time"

	"basilspan/internal/core/unit"
)

// Params holds the parameters of one request.
type Params struct {
	Shards int
	// MinShare is the minimum share of the shards that must have a reply for an answer; with 0, an answer may be empty.
	MinShare unit.Share
	// AttemptsPerShard is how many endpoints may run each shard's request. Attempts that have not run don't count.
	AttemptsPerShard int
	// Idempotent requests may run more than once.
	Idempotent bool
	// HedgeAfter is the age at which the only open attempt of a shard is hedged; 0 means never.
	HedgeAfter time.Duration
	// PartialDeadline is when an answer with MinShare of the shards becomes final although other shards are open; the
	// zero time means never.
	PartialDeadline time.Time
	// GoesOn has the request go on beyond PartialDeadline until all shards have a reply or failed, for a part of a search
	// that may need more of them.
	GoesOn bool
	// Deadline is when the request must have its final answer, whatever is open.
	Deadline time.Time
	// SecondAfter is the time before which a shard that an endpoint may have run is not sent to another one. The zero time
	// means that there is no such bound. A VM that has another one serve a portion relies on it: while this time has not
	// come, a portion whose connection is lost has run on one endpoint of a shard at most.
	SecondAfter time.Time
	// AnswerBy is when the VM that serves the request must have its final answer because the VM stops; the zero time
	// means that it does not stop. An answer with MinShare of the shards is final then.
	AnswerBy time.Time
	// RefuseBy is until when a request of which nothing has run may wait for room. If none is expected by then, it is
	// refused at once, so that its caller can return. The zero time means that it waits until its end.
	RefuseBy time.Time
}

// End returns when the request ends in any case: at its deadline, or before if the VM stops.
func (p Params) End() time.Time {
	if !p.AnswerBy.IsZero() && p.AnswerBy.Before(p.Deadline) {
		return p.AnswerBy
	}
	return p.Deadline
}

// connectWaitShare is the share of the hedge delay that an attempt may wait for a connection. An attempt that has not
// been sent by then goes to another endpoint, at no cost, before a hedge is due.
const connectWaitShare = 0.5

// minConnectWait is the minimum time that an attempt may wait for a connection. A typical call ends within it and frees
// its connection.
const minConnectWait = 10 * time.Millisecond

// ConnectWait returns how long an attempt may wait for a connection before it ends as not sent.
func (p Params) ConnectWait() time.Duration {
	return max(minConnectWait, time.Duration(connectWaitShare*float64(p.HedgeAfter)))
}

// firstPause returns the first pause of a shard that waits for room. It is shorter than the wait for a connection, since the
// shard has had that already.
func (p Params) firstPause() time.Duration {
	return p.ConnectWait() / 2
}

// AttemptID numbers the attempts of one request from 0.
type AttemptID int

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeWhole means that the attempt returned a complete reply that can be used.
	OutcomeWhole Outcome = iota + 1
	// OutcomeRejected means that the endpoint replied that it did not run the attempt.
	OutcomeRejected
	// OutcomeMisdirected means that the address now belongs to another endpoint, which did not run the attempt.
	OutcomeMisdirected
	// OutcomeNotSent means that no byte of the attempt has left this VM.
	OutcomeNotSent
	// OutcomeFailed means that the endpoint reported a failure after it may have run the attempt.
	OutcomeFailed
	// OutcomeLost means that the attempt may have run and has no usable reply.
	OutcomeLost
)

// String returns the outcome as it is written to logs.
func (o Outcome) String() string {
	return [...]string{"open", "whole", "rejected", "misdirected", "unsent", "failed", "lost"}[o]
}

// MayHaveRun reports whether an endpoint may have run an attempt with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o == OutcomeWhole || o == OutcomeFailed || o == OutcomeLost
}

// Cause is why a shard can't get a reply any more.
type Cause int

// The causes.
const (
	// CauseNoEndpoint means that the shard has no endpoint that may be used.
	CauseNoEndpoint Cause = iota + 1
	// CauseAttempts means that as many endpoints as allowed may have run the shard's request.
	CauseAttempts
	// CauseAllowance means that the shard's attempt failed and the allowance did not permit another one.
	CauseAllowance
	// CauseNoRoom means that no endpoint is expected to have room in time.
	CauseNoRoom
)

// String returns the cause as it is written to logs and counters.
func (c Cause) String() string {
	return [...]string{"none", "endpoint", "attempts", "allowance", "room"}[c]
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of action.
const (
	// ActionSend sends the attempt to its endpoint.
	ActionSend ActionKind = iota + 1
	// ActionAbandon stops waiting for the reply to the attempt.
	ActionAbandon
)

// Reason is why an attempt was sent.
type Reason int

// The reasons for an attempt.
const (
	ReasonFirst Reason = iota
	ReasonHedge
	ReasonRetry
)

// String returns the reason as it is written to logs and counters.
func (r Reason) String() string {
	return [...]string{"first", "hedge", "retry"}[r]
}

// Action is a step that the machine's driver has to carry out.
type Action struct {
	Kind    ActionKind
	Attempt AttemptID
}

// Attempt is one request to one endpoint.
type Attempt struct {
	Shard    int
	Endpoint int
	Reason   Reason
	Sent     time.Time
	// Open is false once the attempt has ended or was abandoned.
	Open bool
	// Outcome is 0 for an attempt that is open or was abandoned.
	Outcome Outcome
}

// Verdict is how a request ended. Logs have it under the key verdict.
type Verdict int

// The verdicts.
const (
	// VerdictNone means that the request is in progress.
	VerdictNone Verdict = iota
	// VerdictAnswered means that at least MinShare of the shards have a reply.
	VerdictAnswered
	// VerdictTimedOut means that the request has reached its deadline.
	VerdictTimedOut
	// VerdictFailed means that too many shards can't get a reply any more.
	VerdictFailed
	// VerdictGone means that the caller has disconnected.
	VerdictGone
	// VerdictStopped means that the VM stops before the request could get its answer.
	VerdictStopped
)

// String returns the verdict as it is written to logs and counters.
func (v Verdict) String() string {
	return [...]string{"none", "answered", "timeout", "failed", "gone", "stopped"}[v]
}
