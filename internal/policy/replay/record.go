// Package replay runs the recorded inputs of the decision logic through that logic again and compares its decisions
// with the recorded ones.
//
// It does not depend on the encoding of traces, which core/trace reads and writes. docs/design/replay.md describes
// both.
package replay

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// Kind is the kind of input or outcome that a record holds.
type Kind string

// The kinds of records of a query's fan-out. They replay on one fanout.Machine per query.
const (
	// KindPlan is the query and the plan that its machine was created from.
	KindPlan Kind = "plan"
	// KindStart is the start of the machine, with the actions that followed.
	KindStart Kind = "start"
	// KindReply is the end of an attempt, with the actions that followed.
	KindReply Kind = "reply"
	// KindTick is a call of the machine's Tick, with the actions that followed.
	KindTick Kind = "tick"
	// KindStop is the early stop of a query, with the actions that followed.
	KindStop Kind = "stop"
	// KindAnswer is the final answer.
	KindAnswer Kind = "answer"
)

// KindOffer is a configuration that was received, with the verdict and the configuration in force before and after.
const KindOffer Kind = "offer"

// KindEnd is the last record of a complete trace. A trace without it was cut short.
const KindEnd Kind = "end"

// RunID identifies one state machine within a trace, such as that of one query.
type RunID uint64

// Fanout holds the fields of the records of a query's fan-out. Bodies are replaced by digests, see Digest in
// core/trace.
type Fanout struct {
	// Query and Plan are set for KindPlan.
	Query fanout.Query
	Plan  fanout.Plan
	// Reply is set for KindReply.
	Reply fanout.Reply
	// Code is set for KindStop: the reason for the stop.
	Code unit.Code
	// Actions are the actions that the machine returned for KindStart, KindReply, KindTick and KindStop.
	Actions []fanout.Action
	// Answer is set for KindAnswer.
	Answer fanout.Answer
}

// ConfigVersion identifies a configuration by its revision and the digest of its content.
type ConfigVersion struct {
	Revision unit.Revision
	Digest   revision.Digest
}

// Offer holds the fields of a KindOffer record: a configuration that was received and the decision on it.
type Offer struct {
	// Before is the configuration that was in force; its revision is 0 when there was none.
	Before  ConfigVersion
	Offered ConfigVersion
	// Valid reports whether the offered content passed validation; Problem is the reason when it did not.
	Valid   bool
	Problem string
	Verdict revision.Verdict
	// After is the revision in force after the offer.
	After unit.Revision
}

// Record is one line of a trace. Of Fanout, Offer and Gate only the one that its kind belongs to is set.
type Record struct {
	// Line is the record's line number in its file, from 1; it is 0 for a record that was not read from a file.
	Line int
	Run  RunID
	At   time.Time
	Kind Kind

	Fanout *Fanout
	Offer  *Offer
	Gate   *Gate
	// Dropped is set for KindEnd: the number of records that the recorder dropped because its buffer was full.
	Dropped int64
}
