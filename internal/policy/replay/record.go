// Package replay feeds the recorded inputs of the deciding code through that code again and compares what it decides
// with what was recorded.
//
// It knows nothing of the encoding of traces; core/trace reads and writes them. docs/design/replay.md describes both.
package replay

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/revision"
)

// Kind says which input or outcome a record holds.
type Kind string

// The kinds of a fan-out, one machine for each query.
const (
	// KindPlan is the query and the plan that its machine was made from.
	KindPlan Kind = "plan"
	// KindStart is the machine's start with the actions that followed.
	KindStart Kind = "start"
	// KindReply is the end of an attempt with the actions that followed.
	KindReply Kind = "reply"
	// KindTick is the passing of time with the actions that followed.
	KindTick Kind = "tick"
	// KindStop is the early end of a query with the actions that followed.
	KindStop Kind = "stop"
	// KindAnswer is the final answer.
	KindAnswer Kind = "answer"
)

// KindOffer is a configuration that was shown, with what was held before and the verdict.
const KindOffer Kind = "offer"

// KindEnd is the last record of a trace that was not cut short.
const KindEnd Kind = "end"

// RunID numbers the deciding machines of one trace, such as one query's.
type RunID uint64

// Fanout holds the fields of a fan-out's records. Bodies are digests, as Digest of core/trace makes them.
type Fanout struct {
	// Query and Plan belong to KindPlan.
	Query fanout.Query
	Plan  fanout.Plan
	// Reply belongs to KindReply.
	Reply fanout.Reply
	// Code belongs to KindStop.
	Code unit.Code
	// Actions are what the machine asked for at KindStart, KindReply, KindTick and KindStop.
	Actions []fanout.Action
	// Answer belongs to KindAnswer.
	Answer fanout.Answer
}

// ConfigVersion names the content of a configuration.
type ConfigVersion struct {
	Revision unit.Revision
	Digest   revision.Digest
}

// Offer holds the fields of a record of the acceptance of configuration.
type Offer struct {
	// Before is what was in force before; its revision is 0 when nothing was.
	Before  ConfigVersion
	Offered ConfigVersion
	// Valid says whether the offered content passed the checks; Problem says why not.
	Valid   bool
	Problem string
	Verdict revision.Verdict
	// After is the revision in force afterwards.
	After unit.Revision
}

// Record is one line of a trace. Only the field that its kind speaks of is set.
type Record struct {
	// Line is the record's line in its file, from 1; it is 0 for a record that was not read from one.
	Line int
	Run  RunID
	At   time.Time
	Kind Kind

	Fanout *Fanout
	Offer  *Offer
	Gate   *Gate
	// Dropped belongs to KindEnd: how many records the recorder had no room for.
	Dropped int64
}
