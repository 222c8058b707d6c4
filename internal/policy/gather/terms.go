// Package gather decides one request over the endpoints of one or more services, its shards: which endpoint each shard
// is sent to, when a shard is sent to a second one, and when the answer is final. A request for a single service is a
// request over one shard. It reads no clock and sends nothing itself.
package gather

import (
	"time"

	"basilspan/internal/core/unit"
)

// Params bound one request.
type Params struct {
	Shards int
	// MinShare is the share of the shards below which there is no answer; with 0, an answer may hold nothing.
	MinShare unit.Share
	// AttemptsPerShard is how many endpoints each shard may be sent to.
	AttemptsPerShard int
	// Idempotent requests may run more than once.
	Idempotent bool
	// HedgeAfter is the age at which a shard's first attempt is hedged; 0 means never.
	HedgeAfter time.Duration
	// PartialDeadline is when an answer with the least share is final although shards are open; zero means never.
	PartialDeadline time.Time
	// Deadline is when the request has its final answer, whatever is open.
	Deadline time.Time
}

// connectWaitShare is the share of the time after which an attempt is hedged that it may wait for a connection: what has not left
// by then goes to another endpoint, at no cost, before a hedge is due.
const connectWaitShare = 0.5

// minConnectWait is the least such wait; a usual call is over within it, so that its connection is free again.
const minConnectWait = 10 * time.Millisecond

// ConnectWait gives how long an attempt may wait for a connection.
func (t Params) ConnectWait() time.Duration {
	return max(minConnectWait, time.Duration(connectWaitShare*float64(t.HedgeAfter)))
}

// MaxAttempts is the largest number of attempts that a request can make.
func (t Params) MaxAttempts() int {
	return t.Shards * (t.AttemptsPerShard + maxUnsentAttempts)
}

// AttemptID numbers the attempts of one request from 0.
type AttemptID int

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeWhole is a whole reply.
	OutcomeWhole Outcome = iota + 1
	// OutcomeRejected means that the endpoint did not run the attempt and says so.
	OutcomeRejected
	// OutcomeMisdirected means that another endpoint has the address and did not run the attempt.
	OutcomeMisdirected
	// OutcomeNotSent means that no byte of the attempt has left this VM.
	OutcomeNotSent
	// OutcomeFailed is the endpoint's own report of a failure after it may have run the attempt.
	OutcomeFailed
	// OutcomeLost means that the attempt may have run and has no usable reply.
	OutcomeLost
)

// String gives the outcome as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"open", "whole", "rejected", "misdirected", "unsent", "failed", "lost"}[o]
}

// MayHaveRun says whether an attempt with that outcome may have run.
func (o Outcome) MayHaveRun() bool {
	return o == OutcomeWhole || o == OutcomeFailed || o == OutcomeLost
}

// ActionKind says what an action asks for.
type ActionKind int

// The kinds of action.
const (
	// ActionSend asks for the attempt to be sent to its endpoint.
	ActionSend ActionKind = iota + 1
	// ActionAbandon says that the attempt's reply is not waited for any longer.
	ActionAbandon
)

// Reason says why an attempt was sent.
type Reason int

// The reasons.
const (
	ReasonFirst Reason = iota
	ReasonHedge
	ReasonRetry
)

// String gives the reason as it stands in logs and counters.
func (r Reason) String() string {
	return [...]string{"first", "hedge", "retry"}[r]
}

// Action is one thing that the machine asks its driver to do.
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

// Verdict is how a request ended.
type Verdict int

// The verdicts.
const (
	// VerdictNone means that the request goes on.
	VerdictNone Verdict = iota
	// VerdictAnswered means that at least the least share of the shards has a reply.
	VerdictAnswered
	// VerdictTimedOut means that the time of the request is over.
	VerdictTimedOut
	// VerdictFailed means that too many shards have failed for good.
	VerdictFailed
	// VerdictGone means that the caller has left.
	VerdictGone
)

// String gives the verdict as it stands in logs and counters.
func (v Verdict) String() string {
	return [...]string{"none", "answered", "timeout", "failed", "gone"}[v]
}
