package fanout

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// harness drives a machine with arbitrary inputs and keeps what truly became of each attempt.
type harness struct {
	t       *rapid.T
	query   Query
	plan    Plan
	machine *Machine
	// duplicate is given the same inputs and must do the same.
	duplicate *Machine
	now       time.Time
	sent      []Attempt
	// firstCodes holds the first reply of each attempt that had one.
	firstCodes map[unit.AttemptID]unit.Code
	stopped    bool
}

var failures = []unit.Code{
	unit.CodeRefused, unit.CodeSnapshotAbsent, unit.CodeDraining, unit.CodeNotConnected, unit.CodeTooLate,
	unit.CodeNotSent, unit.CodeDeadline, unit.CodeConnection, unit.CodeCancelled, unit.CodeBadReply, unit.CodeEndpointError,
}

func drawSnapshotPlan(t *rapid.T, snapshot unit.SnapshotID) SnapshotPlan {
	v := SnapshotPlan{Snapshot: snapshot}
	for i := range rapid.IntRange(0, 5).Draw(t, "shards") {
		shard := Shard{ID: unit.ShardID(rune('a' + i))}
		for r := range rapid.IntRange(0, 3).Draw(t, "replicas") {
			shard.Replicas = append(shard.Replicas, unit.EndpointID(string(shard.ID)+strconv.Itoa(r+1)))
		}
		shard.Healthy = rapid.IntRange(0, len(shard.Replicas)).Draw(t, "healthy")
		v.Shards = append(v.Shards, shard)
	}
	return v
}

func newHarness(t *rapid.T) *harness {
	first := drawSnapshotPlan(t, 10)
	plan := Plan{Snapshot: 10, Shards: first.Shards, Options: Options{
		Aim:              rapid.SampledFrom([]catalog.Aim{catalog.AimLatency, catalog.AimCoverage}).Draw(t, "aim"),
		Minimum:          unit.Share(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")),
		HedgeAfter:       time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge")) * time.Millisecond,
		Allowance:        rapid.IntRange(0, 4).Draw(t, "allowance"),
		ExpectedDuration: time.Duration(rapid.IntRange(0, 50).Draw(t, "expected")) * time.Millisecond,
	}}
	for i := range rapid.IntRange(0, 2).Draw(t, "fallback") {
		plan.Fallback = append(plan.Fallback, drawSnapshotPlan(t, unit.SnapshotID(9-i)))
	}
	q := Query{ID: "r", Deadline: start.Add(100 * time.Millisecond), Once: rapid.Bool().Draw(t, "once")}
	return &harness{
		t: t, query: q, plan: plan, machine: New(q, plan), duplicate: New(q, plan), now: start,
		firstCodes: make(map[unit.AttemptID]unit.Code),
	}
}

// mayHaveRun says whether an attempt that was sent can have run.
func (h *harness) mayHaveRun(id unit.AttemptID) bool {
	code, ended := h.firstCodes[id]
	return !ended || code.Outcome() != unit.OutcomeNotRun
}

// checkActions checks actions before they are carried out.
func (h *harness) checkActions(actions, duplicate []Action) {
	assert.DeepEqual(h.t, actions, duplicate)
	for _, action := range actions {
		if action.Kind != ActionSend {
			continue
		}
		assert.Assert(h.t, !h.stopped, "sent after the end")
		assert.Equal(h.t, int(action.Attempt.ID), len(h.sent)+1)
		for _, earlier := range h.sent {
			mayRunTwice := h.query.Once && earlier.Shard == action.Attempt.Shard && h.mayHaveRun(earlier.ID)
			assert.Assert(h.t, !mayRunTwice, "a request that runs once may have run twice at shard %s", earlier.Shard)
		}
		h.sent = append(h.sent, action.Attempt)
	}
	if h.machine.phase == phaseRunning {
		assert.Assert(h.t, h.machine.NextTick().After(h.now), "the driver would spin")
	}
}

// injectReply ends an attempt in some way, or repeats or makes up a reply.
func (h *harness) injectReply() {
	id := unit.AttemptID(rapid.IntRange(0, len(h.sent)+1).Draw(h.t, "attempt"))
	r := Reply{Attempt: id, Code: unit.CodeWhole, Body: []byte(strconv.Itoa(int(id)))}
	known := id >= 1 && int(id) <= len(h.sent)
	if known {
		r.Shard, r.Snapshot = h.sent[id-1].Shard, h.sent[id-1].Snapshot
	}
	switch rapid.IntRange(0, 5).Draw(h.t, "kind") {
	case 0:
		r.Code = rapid.SampledFrom(failures).Draw(h.t, "code")
	case 1:
		r.Shard = unit.ShardID(rapid.SampledFrom([]string{"", "a", "z"}).Draw(h.t, "shard"))
	case 2:
		r.Snapshot = unit.SnapshotID(rapid.IntRange(7, 11).Draw(h.t, "snapshot"))
	case 3:
		r.Code = unit.Code(rapid.SampledFrom([]int{0, 101, 999, -1}).Draw(h.t, "strange"))
	}
	if _, ended := h.firstCodes[id]; known && !ended {
		h.firstCodes[id] = r.Code
	}
	h.checkActions(h.machine.HandleReply(h.now, r), h.duplicate.HandleReply(h.now, r))
}

func (h *harness) advance() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(h.t, "ms")) * time.Millisecond)
	h.checkActions(h.machine.Tick(h.now), h.duplicate.Tick(h.now))
}

func (h *harness) injectStop() {
	h.checkActions(h.machine.Stop(unit.CodeCancelled), h.duplicate.Stop(unit.CodeCancelled))
	h.stopped = true
}

// checkAnswer checks the answer against what truly happened.
func (h *harness) checkAnswer() {
	answer := h.machine.Answer()
	assert.DeepEqual(h.t, answer, h.duplicate.Answer())
	plan := SnapshotPlan{Snapshot: h.plan.Snapshot, Shards: h.plan.Shards}
	for _, v := range h.plan.Fallback {
		if v.Snapshot == answer.Snapshot {
			plan = v
		}
	}
	assert.Equal(h.t, answer.Snapshot, plan.Snapshot)
	assert.Equal(h.t, answer.Asked, len(plan.Shards))
	h.checkParts(answer)
	h.checkCode(answer)
	assert.Assert(h.t, answer.Extra.Spent <= h.plan.Options.Allowance)
	assert.Assert(h.t, answer.Extra.Hedges <= answer.Extra.Spent)
	assert.Assert(h.t, answer.Extra.Attempts == len(h.sent) && len(h.sent) <= h.plan.MaxAttempts())
	assert.Assert(h.t, answer.Extra.Hedges == 0 || !h.query.Once && h.plan.Options.HedgeAfter > 0)
}

// checkParts checks that each part is the whole reply of an attempt at its shard and snapshot, and that each shard of
// the snapshot is there once.
func (h *harness) checkParts(answer Answer) {
	seen := make(map[unit.ShardID]bool)
	for _, p := range answer.Parts {
		id, err := strconv.Atoi(string(p.Body))
		assert.NilError(h.t, err)
		a := h.sent[id-1]
		assert.Equal(h.t, a.Shard, p.Shard)
		assert.Equal(h.t, a.Endpoint, p.Endpoint)
		assert.Equal(h.t, a.Snapshot, answer.Snapshot)
		assert.Equal(h.t, h.firstCodes[a.ID], unit.CodeWhole)
		assert.Assert(h.t, !seen[p.Shard])
		seen[p.Shard] = true
	}
	for _, m := range answer.Missing {
		assert.Assert(h.t, !seen[m.Shard])
		seen[m.Shard] = true
		for _, a := range h.sent {
			claimsNotRun := a.Shard == m.Shard && m.Code.Outcome() == unit.OutcomeNotRun && h.mayHaveRun(a.ID)
			assert.Assert(h.t, !claimsNotRun, "shard %s may have run, but the answer says %d", m.Shard, m.Code)
		}
	}
	if answer.Code.Outcome() == unit.OutcomeAnswered {
		assert.Equal(h.t, len(seen), answer.Asked)
	}
}

func (h *harness) checkCode(answer Answer) {
	coverage := unit.Share(0)
	if answer.Asked > 0 {
		coverage = unit.Share(answer.Asked-len(answer.Missing)) / unit.Share(answer.Asked)
	}
	switch answer.Code.Outcome() {
	case unit.OutcomeAnswered:
		assert.Equal(h.t, answer.Code == unit.CodeWhole, coverage == 1)
		assert.Assert(h.t, coverage >= h.plan.Options.Minimum)
	case unit.OutcomeNotRun:
		for _, a := range h.sent {
			assert.Assert(h.t, !h.mayHaveRun(a.ID), "attempt %d may have run, but the answer says %d", a.ID, answer.Code)
		}
	}
	if answer.Code.Outcome() != unit.OutcomeAnswered {
		assert.Equal(h.t, len(answer.Parts), 0)
	}
}

// TestMachineProperties gives a machine replies that are late, doubled, reordered, of other shards and snapshots and
// of attempts that were never made, while time passes unevenly.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.checkActions(h.machine.Start(h.now), h.duplicate.Start(h.now))
		for range rapid.IntRange(0, 60).Draw(t, "inputs") {
			switch rapid.IntRange(0, 15).Draw(t, "input") {
			case 0:
				h.injectStop()
			case 1, 2:
				h.advance()
			default:
				h.injectReply()
			}
		}
		h.now = h.query.Deadline
		h.checkActions(h.machine.Tick(h.now), h.duplicate.Tick(h.now))
		h.now = h.now.Add(stopTimeout)
		h.checkActions(h.machine.Tick(h.now), h.duplicate.Tick(h.now))
		assert.Assert(t, h.machine.Done())
		h.checkAnswer()
	})
}
