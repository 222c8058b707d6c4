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

// world drives a machine with arbitrary inputs and keeps what truly became of each attempt.
type world struct {
	t       *rapid.T
	query   Query
	plan    Plan
	machine *Machine
	// twin is given the same inputs and must do the same.
	twin *Machine
	now  time.Time
	sent []Attempt
	// fates holds the first reply of each attempt that had one.
	fates   map[unit.AttemptID]unit.Code
	stopped bool
}

var failures = []unit.Code{
	unit.CodeRefused, unit.CodeSnapshotAbsent, unit.CodeDraining, unit.CodeNotConnected, unit.CodeTooLate,
	unit.CodeNotSent, unit.CodeDeadline, unit.CodeConnection, unit.CodeCancelled, unit.CodeBadReply, unit.CodeEndpointError,
}

func drawVersion(t *rapid.T, snapshot unit.SnapshotID) Version {
	v := Version{Snapshot: snapshot}
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

func newWorld(t *rapid.T) *world {
	first := drawVersion(t, 10)
	plan := Plan{Snapshot: 10, Shards: first.Shards, Terms: Terms{
		Aim:        rapid.SampledFrom([]catalog.Aim{catalog.AimLatency, catalog.AimCoverage}).Draw(t, "aim"),
		Minimum:    unit.Share(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum")),
		HedgeAfter: time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge")) * time.Millisecond,
		Allowance:  rapid.IntRange(0, 4).Draw(t, "allowance"),
		Expected:   time.Duration(rapid.IntRange(0, 50).Draw(t, "expected")) * time.Millisecond,
	}}
	for i := range rapid.IntRange(0, 2).Draw(t, "fallback") {
		plan.Fallback = append(plan.Fallback, drawVersion(t, unit.SnapshotID(9-i)))
	}
	q := Query{ID: "r", Deadline: start.Add(100 * time.Millisecond), Once: rapid.Bool().Draw(t, "once")}
	return &world{
		t: t, query: q, plan: plan, machine: New(q, plan), twin: New(q, plan), now: start,
		fates: make(map[unit.AttemptID]unit.Code),
	}
}

// mayHaveRun says whether an attempt that was sent can have run.
func (w *world) mayHaveRun(id unit.AttemptID) bool {
	code, ended := w.fates[id]
	return !ended || code.Outcome() != unit.OutcomeNotRun
}

// take checks actions before they are carried out.
func (w *world) take(actions, twin []Action) {
	assert.DeepEqual(w.t, actions, twin)
	for _, action := range actions {
		if action.Kind != ActionSend {
			continue
		}
		assert.Assert(w.t, !w.stopped, "sent after the end")
		assert.Equal(w.t, int(action.Attempt.ID), len(w.sent)+1)
		for _, earlier := range w.sent {
			again := w.query.Once && earlier.Shard == action.Attempt.Shard && w.mayHaveRun(earlier.ID)
			assert.Assert(w.t, !again, "a request that runs once may have run twice at shard %s", earlier.Shard)
		}
		w.sent = append(w.sent, action.Attempt)
	}
	if w.machine.phase == phaseRunning {
		assert.Assert(w.t, w.machine.Wake().After(w.now), "the driver would spin")
	}
}

// reply ends an attempt in some way, or repeats or makes up a reply.
func (w *world) reply() {
	id := unit.AttemptID(rapid.IntRange(0, len(w.sent)+1).Draw(w.t, "attempt"))
	r := Reply{Attempt: id, Code: unit.CodeWhole, Body: []byte(strconv.Itoa(int(id)))}
	made := id >= 1 && int(id) <= len(w.sent)
	if made {
		r.Shard, r.Snapshot = w.sent[id-1].Shard, w.sent[id-1].Snapshot
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "kind") {
	case 0:
		r.Code = rapid.SampledFrom(failures).Draw(w.t, "code")
	case 1:
		r.Shard = unit.ShardID(rapid.SampledFrom([]string{"", "a", "z"}).Draw(w.t, "shard"))
	case 2:
		r.Snapshot = unit.SnapshotID(rapid.IntRange(7, 11).Draw(w.t, "snapshot"))
	case 3:
		r.Code = unit.Code(rapid.SampledFrom([]int{0, 101, 999, -1}).Draw(w.t, "strange"))
	}
	if _, ended := w.fates[id]; made && !ended {
		w.fates[id] = r.Code
	}
	w.take(w.machine.Reply(w.now, r), w.twin.Reply(w.now, r))
}

func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(w.t, "ms")) * time.Millisecond)
	w.take(w.machine.Tick(w.now), w.twin.Tick(w.now))
}

func (w *world) stop() {
	w.take(w.machine.Stop(unit.CodeCancelled), w.twin.Stop(unit.CodeCancelled))
	w.stopped = true
}

// check checks the answer against what truly happened.
func (w *world) check() {
	answer := w.machine.Answer()
	assert.DeepEqual(w.t, answer, w.twin.Answer())
	version := Version{Snapshot: w.plan.Snapshot, Shards: w.plan.Shards}
	for _, v := range w.plan.Fallback {
		if v.Snapshot == answer.Snapshot {
			version = v
		}
	}
	assert.Equal(w.t, answer.Snapshot, version.Snapshot)
	assert.Equal(w.t, answer.Asked, len(version.Shards))
	w.checkParts(answer)
	w.checkCode(answer)
	assert.Assert(w.t, answer.Extra.Spent <= w.plan.Terms.Allowance)
	assert.Assert(w.t, answer.Extra.Hedges <= answer.Extra.Spent)
	assert.Assert(w.t, answer.Extra.Attempts == len(w.sent) && len(w.sent) <= w.plan.MaxAttempts())
	assert.Assert(w.t, answer.Extra.Hedges == 0 || !w.query.Once && w.plan.Terms.HedgeAfter > 0)
}

// checkParts checks that each part is the whole reply of an attempt at its shard and snapshot, and that each shard of
// the snapshot is there once.
func (w *world) checkParts(answer Answer) {
	seen := make(map[unit.ShardID]bool)
	for _, p := range answer.Parts {
		id, err := strconv.Atoi(string(p.Body))
		assert.NilError(w.t, err)
		a := w.sent[id-1]
		assert.Equal(w.t, a.Shard, p.Shard)
		assert.Equal(w.t, a.Endpoint, p.Endpoint)
		assert.Equal(w.t, a.Snapshot, answer.Snapshot)
		assert.Equal(w.t, w.fates[a.ID], unit.CodeWhole)
		assert.Assert(w.t, !seen[p.Shard])
		seen[p.Shard] = true
	}
	for _, m := range answer.Missing {
		assert.Assert(w.t, !seen[m.Shard])
		seen[m.Shard] = true
		for _, a := range w.sent {
			lie := a.Shard == m.Shard && m.Code.Outcome() == unit.OutcomeNotRun && w.mayHaveRun(a.ID)
			assert.Assert(w.t, !lie, "shard %s may have run, but the answer says %d", m.Shard, m.Code)
		}
	}
	if answer.Code.Outcome() == unit.OutcomeAnswered {
		assert.Equal(w.t, len(seen), answer.Asked)
	}
}

func (w *world) checkCode(answer Answer) {
	coverage := unit.Share(0)
	if answer.Asked > 0 {
		coverage = unit.Share(answer.Asked-len(answer.Missing)) / unit.Share(answer.Asked)
	}
	switch answer.Code.Outcome() {
	case unit.OutcomeAnswered:
		assert.Equal(w.t, answer.Code == unit.CodeWhole, coverage == 1)
		assert.Assert(w.t, coverage >= w.plan.Terms.Minimum)
	case unit.OutcomeNotRun:
		for _, a := range w.sent {
			assert.Assert(w.t, !w.mayHaveRun(a.ID), "attempt %d may have run, but the answer says %d", a.ID, answer.Code)
		}
	}
	if answer.Code.Outcome() != unit.OutcomeAnswered {
		assert.Equal(w.t, len(answer.Parts), 0)
	}
}

// TestMachineProperties gives a machine replies that are late, doubled, reordered, of other shards and snapshots and
// of attempts that were never made, while time passes unevenly.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.take(w.machine.Start(w.now), w.twin.Start(w.now))
		for range rapid.IntRange(0, 60).Draw(t, "inputs") {
			switch rapid.IntRange(0, 15).Draw(t, "input") {
			case 0:
				w.stop()
			case 1, 2:
				w.pass()
			default:
				w.reply()
			}
		}
		w.now = w.query.Deadline
		w.take(w.machine.Tick(w.now), w.twin.Tick(w.now))
		w.now = w.now.Add(settleTime)
		w.take(w.machine.Tick(w.now), w.twin.Tick(w.now))
		assert.Assert(t, w.machine.Done())
		w.check()
	})
}
