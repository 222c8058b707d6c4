package fanout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// event is one input of a machine with the actions that must follow.
type event struct {
	// at is the time since the start.
	at time.Duration
	// reply is given when its attempt is not 0, stop when it is not 0, and otherwise the time passes.
	reply Reply
	stop  unit.Code
	want  []string
}

func tick(at time.Duration, want ...string) event { return event{at: at, want: want} }

func stop(at time.Duration, code unit.Code, want ...string) event {
	return event{at: at, stop: code, want: want}
}

func fails(at time.Duration, id unit.AttemptID, code unit.Code, want ...string) event {
	return event{at: at, reply: Reply{Attempt: id, Code: code}, want: want}
}

func part(at time.Duration, id unit.AttemptID, shard unit.ShardID, snapshot unit.SnapshotID, want ...string) event {
	return event{at: at, reply: Reply{Attempt: id, Code: unit.CodeWhole, Shard: shard, Snapshot: snapshot}, want: want}
}

// describeActions gives actions as texts such as "send a2@7".
func describeActions(actions []Action) []string {
	var all []string
	for _, a := range actions {
		verb := map[ActionKind]string{ActionSend: "send", ActionCancel: "cancel"}[a.Kind]
		all = append(all, fmt.Sprintf("%s %s@%d", verb, a.Attempt.Endpoint, a.Attempt.Snapshot))
	}
	return all
}

// pairs makes a version of shards "a", "b" and so on with two healthy replicas each.
func pairs(snapshot unit.SnapshotID, shards ...unit.ShardID) SnapshotPlan {
	v := SnapshotPlan{Snapshot: snapshot}
	for _, id := range shards {
		replicas := []unit.EndpointID{unit.EndpointID(id) + "1", unit.EndpointID(id) + "2"}
		v.Shards = append(v.Shards, Shard{ID: id, Replicas: replicas, Healthy: 2})
	}
	return v
}

// scenario is a run of one machine with its stated answer.
type scenario struct {
	name     string
	once     bool
	options  Options
	first    SnapshotPlan
	fallback []SnapshotPlan
	start    []string
	events   []event
	code     unit.Code
	snapshot unit.SnapshotID
	parts    int
	missing  []Missing
	extra    Extra
}

func (s scenario) run(t *testing.T) {
	t.Helper()
	plan := Plan{Snapshot: s.first.Snapshot, Shards: s.first.Shards, Options: s.options, Fallback: s.fallback}
	m := New(Query{ID: "r", Deadline: start.Add(time.Second), Once: s.once}, plan)
	assert.DeepEqual(t, describeActions(m.Start(start)), s.start)
	for i, e := range s.events {
		now := start.Add(e.at)
		var got []Action
		switch {
		case e.reply.Attempt != 0:
			got = m.HandleReply(now, e.reply)
		case e.stop != 0:
			got = m.Stop(e.stop)
		default:
			got = m.Tick(now)
		}
		assert.DeepEqual(t, describeActions(got), e.want)
		last := i == len(s.events)-1
		assert.Equal(t, m.Done(), last, "event %d", i)
	}
	answer := m.Answer()
	assert.Equal(t, answer.Code, s.code)
	assert.Equal(t, answer.Snapshot, s.snapshot)
	assert.Equal(t, len(answer.Parts), s.parts)
	assert.DeepEqual(t, answer.Missing, s.missing)
	assert.DeepEqual(t, answer.Extra, s.extra)
}

const ms = time.Millisecond

func TestMachineHedges(t *testing.T) {
	hedging := Options{HedgeAfter: 10 * ms, Allowance: 2}
	tests := []scenario{
		{
			name: "a straggler is hedged and the loser is cancelled", options: hedging, first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(5*ms, 1, "a", 7), tick(9 * ms), tick(10*ms, "send b2@7"), part(12*ms, 3, "b", 7, "cancel b1@7"),
			},
			code: unit.CodeWhole, snapshot: 7, parts: 2, extra: Extra{Attempts: 3, Hedges: 1, Spent: 1},
		},
		{
			name: "the first attempt may win", options: hedging, first: pairs(7, "a"),
			start:  []string{"send a1@7"},
			events: []event{tick(10*ms, "send a2@7"), part(12*ms, 1, "a", 7, "cancel a2@7")},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 2, Hedges: 1, Spent: 1},
		},
		{
			name: "shards that are slow together are not hedged", options: hedging, first: pairs(7, "a", "b"),
			start:  []string{"send a1@7", "send b1@7"},
			events: []event{tick(20 * ms), part(30*ms, 1, "a", 7, "send b2@7"), part(31*ms, 2, "b", 7, "cancel b2@7")},
			code:   unit.CodeWhole, snapshot: 7, parts: 2, extra: Extra{Attempts: 3, Hedges: 1, Spent: 1},
		},
		{
			name: "a hedge needs the allowance", options: Options{HedgeAfter: 10 * ms}, first: pairs(7, "a"),
			start: []string{"send a1@7"}, events: []event{tick(20 * ms), part(30*ms, 1, "a", 7)},
			code: unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 1},
		},
		{
			name: "work that runs once is not hedged", once: true, options: hedging, first: pairs(7, "a"),
			start: []string{"send a1@7"}, events: []event{tick(20 * ms), part(30*ms, 1, "a", 7)},
			code: unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 1},
		},
		{
			name: "no hedge to an ejected replica", options: hedging,
			first:  SnapshotPlan{Snapshot: 7, Shards: []Shard{{ID: "a", Replicas: []unit.EndpointID{"a1", "a2"}, Healthy: 1}}},
			start:  []string{"send a1@7"},
			events: []event{tick(20 * ms), part(30*ms, 1, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 1},
		},
		{
			name: "a failed attempt leaves its hedge to answer", options: hedging, first: pairs(7, "a"),
			start:  []string{"send a1@7"},
			events: []event{tick(10*ms, "send a2@7"), fails(11*ms, 1, unit.CodeConnection), part(12*ms, 2, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 2, Hedges: 1, Spent: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

func TestMachineRetries(t *testing.T) {
	tests := []scenario{
		{
			name: "a refused attempt is retried within the allowance", options: Options{Allowance: 1}, first: pairs(7, "a"),
			start:  []string{"send a1@7"},
			events: []event{fails(1*ms, 1, unit.CodeRefused, "send a2@7"), part(2*ms, 2, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 2, Retries: 1, Spent: 1},
		},
		{
			name: "and not beyond it", first: pairs(7, "a"),
			start: []string{"send a1@7"}, events: []event{fails(1*ms, 1, unit.CodeRefused)},
			code: unit.CodeRefused, snapshot: 7, missing: []Missing{{"a", unit.CodeRefused}}, extra: Extra{Attempts: 1},
		},
		{
			name: "an endpoint that was not reached costs no allowance", first: pairs(7, "a"),
			start:  []string{"send a1@7"},
			events: []event{fails(1*ms, 1, unit.CodeNotConnected, "send a2@7"), part(2*ms, 2, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 2, Retries: 1},
		},
		{
			name: "a lost connection leads back to the first replica once", options: Options{Allowance: 3},
			first: pairs(7, "a"), start: []string{"send a1@7"},
			events: []event{
				fails(1*ms, 1, unit.CodeConnection, "send a2@7"),
				fails(2*ms, 2, unit.CodeConnection, "send a1@7"),
				fails(3*ms, 3, unit.CodeConnection),
			},
			code: unit.CodeConnection, snapshot: 7, missing: []Missing{{"a", unit.CodeConnection}},
			extra: Extra{Attempts: 3, Retries: 2, Spent: 2},
		},
		{
			name: "once: retried when it was not sent", once: true, options: Options{Allowance: 3}, first: pairs(7, "a"),
			start: []string{"send a1@7"},
			events: []event{
				fails(1*ms, 1, unit.CodeNotConnected, "send a2@7"), fails(2*ms, 2, unit.CodeConnection),
			},
			code: unit.CodeConnection, snapshot: 7, missing: []Missing{{"a", unit.CodeConnection}},
			extra: Extra{Attempts: 2, Retries: 1},
		},
		{
			name: "once: a bad reply may have run", once: true, options: Options{Allowance: 3}, first: pairs(7, "a"),
			start: []string{"send a1@7"}, events: []event{part(1*ms, 1, "z", 7)},
			code: unit.CodeBadReply, snapshot: 7, missing: []Missing{{"a", unit.CodeBadReply}}, extra: Extra{Attempts: 1},
		},
		{
			name: "a late and a doubled reply are dropped", options: Options{Allowance: 1}, first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				fails(1*ms, 1, unit.CodeEndpointError, "send a2@7"),
				part(2*ms, 1, "a", 7), part(3*ms, 3, "a", 7), part(4*ms, 3, "a", 7), part(5*ms, 2, "b", 7),
			},
			code: unit.CodeWhole, snapshot: 7, parts: 2, extra: Extra{Attempts: 3, Retries: 1, Late: 2, Spent: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

func TestMachineRestarts(t *testing.T) {
	absent := unit.CodeSnapshotAbsent
	tests := []scenario{
		{
			name: "a snapshot that is gone everywhere", first: pairs(7, "a", "b"), fallback: []SnapshotPlan{pairs(8, "a", "b", "c")},
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 2, "b", 7),
				fails(2*ms, 1, absent, "send a2@7"),
				fails(3*ms, 3, absent, "send a1@8", "send b1@8", "send c1@8"),
				part(4*ms, 4, "a", 8), part(5*ms, 5, "b", 8), part(6*ms, 6, "c", 8),
			},
			code: unit.CodeWhole, snapshot: 8, parts: 3, extra: Extra{Attempts: 6, Retries: 1, Restarts: 1},
		},
		{
			name: "a replica that has it is enough", first: pairs(7, "a"), fallback: []SnapshotPlan{pairs(8, "a")},
			start:  []string{"send a1@7"},
			events: []event{fails(1*ms, 1, absent, "send a2@7"), part(2*ms, 2, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 2, Retries: 1},
		},
		{
			name: "a straggler of the old round is cancelled and its part dropped", first: pairs(7, "a", "b"),
			fallback: []SnapshotPlan{pairs(8, "a", "b")},
			start:    []string{"send a1@7", "send b1@7"},
			events: []event{
				fails(1*ms, 1, absent, "send a2@7"),
				fails(2*ms, 3, absent, "cancel b1@7", "send a1@8", "send b1@8"),
				part(3*ms, 2, "b", 7), part(4*ms, 4, "a", 8), part(5*ms, 5, "b", 8),
			},
			code: unit.CodeWhole, snapshot: 8, parts: 2, extra: Extra{Attempts: 5, Retries: 1, Restarts: 1, Late: 1},
		},
		{
			name: "without another version the coverage is lower", first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 2, "b", 7), fails(2*ms, 1, absent, "send a2@7"), fails(3*ms, 3, absent),
			},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"a", absent}}, extra: Extra{Attempts: 3, Retries: 1},
		},
		{
			name: "nor with too little time", options: Options{ExpectedDuration: 999 * ms}, first: pairs(7, "a", "b"),
			fallback: []SnapshotPlan{pairs(8, "a", "b")}, start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 2, "b", 7), fails(2*ms, 1, absent, "send a2@7"), fails(3*ms, 3, absent),
			},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"a", absent}}, extra: Extra{Attempts: 3, Retries: 1},
		},
		{
			name: "once: not repeated after a part has run", once: true, first: pairs(7, "a", "b"),
			fallback: []SnapshotPlan{pairs(8, "a", "b")}, start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 2, "b", 7), fails(2*ms, 1, absent, "send a2@7"), fails(3*ms, 3, absent),
			},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"a", absent}}, extra: Extra{Attempts: 3, Retries: 1},
		},
		{
			name: "once: repeated when nothing has run", once: true, first: pairs(7, "a"), fallback: []SnapshotPlan{pairs(6, "a")},
			start: []string{"send a1@7"},
			events: []event{
				fails(2*ms, 1, absent, "send a2@7"), fails(3*ms, 2, absent, "send a1@6"), part(4*ms, 3, "a", 6),
			},
			code: unit.CodeWhole, snapshot: 6, parts: 1, extra: Extra{Attempts: 3, Retries: 1, Restarts: 1},
		},
		{
			name: "a refusal that comes in after the restart still says not run", first: pairs(7, "a", "b"),
			fallback: []SnapshotPlan{pairs(8, "a")}, start: []string{"send a1@7", "send b1@7"},
			events: []event{
				fails(1*ms, 1, absent, "send a2@7"), fails(2*ms, 3, absent, "cancel b1@7", "send a1@8"),
				fails(3*ms, 2, absent), fails(4*ms, 4, absent, "send a2@8"), fails(5*ms, 5, absent),
			},
			code: absent, snapshot: 8, missing: []Missing{{"a", absent}},
			extra: Extra{Attempts: 5, Retries: 2, Restarts: 1, Late: 1},
		},
		{
			name: "but not after another end of the same attempt", first: pairs(7, "a", "b"),
			fallback: []SnapshotPlan{pairs(8, "a")}, start: []string{"send a1@7", "send b1@7"},
			events: []event{
				fails(1*ms, 1, absent, "send a2@7"), fails(2*ms, 3, absent, "cancel b1@7", "send a1@8"),
				fails(3*ms, 2, unit.CodeConnection), fails(3*ms, 2, absent),
				fails(4*ms, 4, absent, "send a2@8"), fails(5*ms, 5, absent),
			},
			code: unit.CodeConnection, snapshot: 8, missing: []Missing{{"a", absent}},
			extra: Extra{Attempts: 5, Retries: 2, Restarts: 1, Late: 2},
		},
		{
			name: "the round with the greater coverage is the answer", first: pairs(7, "a", "b", "c"),
			fallback: []SnapshotPlan{pairs(8, "a", "b", "c")}, start: []string{"send a1@7", "send b1@7", "send c1@7"},
			events: []event{
				part(1*ms, 2, "b", 7), part(1*ms, 3, "c", 7),
				fails(2*ms, 1, absent, "send a2@7"), fails(3*ms, 4, absent, "send a1@8", "send b1@8", "send c1@8"),
				part(4*ms, 5, "a", 8), fails(5*ms, 6, unit.CodeRefused), fails(6*ms, 7, unit.CodeRefused),
			},
			code: unit.CodePartial, snapshot: 7, parts: 2, missing: []Missing{{"a", unit.CodeCancelled}},
			extra: Extra{Attempts: 7, Retries: 1, Restarts: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

func TestMachineEnds(t *testing.T) {
	tests := []scenario{
		{
			name: "latency answers before the deadline", options: Options{Aim: catalog.AimLatency}, first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 1, "a", 7), tick(974 * ms), tick(975*ms, "cancel b1@7"), fails(976*ms, 2, unit.CodeCancelled),
			},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"b", unit.CodeDeadline}}, extra: Extra{Attempts: 2},
		},
		{
			name: "coverage waits longer", options: Options{Aim: catalog.AimCoverage}, first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				part(1*ms, 1, "a", 7), tick(997 * ms), tick(998*ms, "cancel b1@7"), tick(999 * ms), tick(1000 * ms),
			},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"b", unit.CodeDeadline}}, extra: Extra{Attempts: 2},
		},
		{
			name: "a part that arrives with its cancellation counts", first: pairs(7, "a"),
			start:  []string{"send a1@7"},
			events: []event{tick(998*ms, "cancel a1@7"), part(998*ms, 1, "a", 7)},
			code:   unit.CodeWhole, snapshot: 7, parts: 1, extra: Extra{Attempts: 1},
		},
		{
			name: "attempts that were never sent are not run", first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				tick(998*ms, "cancel a1@7", "cancel b1@7"),
				fails(999*ms, 1, unit.CodeNotSent), fails(999*ms, 2, unit.CodeTooLate),
			},
			code: unit.CodeTooLate, snapshot: 7, extra: Extra{Attempts: 2},
			missing: []Missing{{"a", unit.CodeTooLate}, {"b", unit.CodeTooLate}},
		},
		{
			name: "one that may have been sent makes it unknown", first: pairs(7, "a", "b"),
			start: []string{"send a1@7", "send b1@7"},
			events: []event{
				tick(998*ms, "cancel a1@7", "cancel b1@7"), fails(999*ms, 1, unit.CodeNotSent), tick(1000 * ms),
			},
			code: unit.CodeDeadline, snapshot: 7, extra: Extra{Attempts: 2},
			missing: []Missing{{"a", unit.CodeTooLate}, {"b", unit.CodeDeadline}},
		},
		{
			name: "the caller goes", first: pairs(7, "a"), start: []string{"send a1@7"},
			events: []event{stop(1*ms, unit.CodeCancelled, "cancel a1@7"), fails(2*ms, 1, unit.CodeCancelled)},
			code:   unit.CodeCancelled, snapshot: 7, missing: []Missing{{"a", unit.CodeCancelled}}, extra: Extra{Attempts: 1},
		},
		{
			name: "below the minimum the parts are withheld", options: Options{Minimum: 1}, first: pairs(7, "a", "b"),
			start:  []string{"send a1@7", "send b1@7"},
			events: []event{part(1*ms, 1, "a", 7), fails(2*ms, 2, unit.CodeEndpointError)},
			code:   unit.CodeBelowMinimum, snapshot: 7, missing: []Missing{{"b", unit.CodeEndpointError}}, extra: Extra{Attempts: 2},
		},
		{
			name: "at the minimum they are not", options: Options{Minimum: 0.5}, first: pairs(7, "a", "b"),
			start:  []string{"send a1@7", "send b1@7"},
			events: []event{part(1*ms, 1, "a", 7), fails(2*ms, 2, unit.CodeEndpointError)},
			code:   unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"b", unit.CodeEndpointError}}, extra: Extra{Attempts: 2},
		},
		{
			name:  "a shard without a replica is missing",
			first: SnapshotPlan{Snapshot: 7, Shards: append(pairs(7, "a").Shards, Shard{ID: "b"})},
			start: []string{"send a1@7"}, events: []event{part(1*ms, 1, "a", 7)},
			code: unit.CodePartial, snapshot: 7, parts: 1, missing: []Missing{{"b", unit.CodeNoEndpoint}}, extra: Extra{Attempts: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.run)
	}
}

// TestMachineWithoutAttempts covers the plans that end as they start.
func TestMachineWithoutAttempts(t *testing.T) {
	tests := []struct {
		name    string
		minimum unit.Share
		version SnapshotPlan
		at      time.Duration
		code    unit.Code
		missing []Missing
	}{
		{"an empty snapshot", 0, SnapshotPlan{Snapshot: 7}, 0, unit.CodePartial, nil},
		{"an empty snapshot below its minimum", 1, SnapshotPlan{Snapshot: 7}, 0, unit.CodeNoEndpoint, nil},
		{
			"every replica leaving", 0,
			SnapshotPlan{Snapshot: 7, Shards: []Shard{{ID: "a"}}},
			0,
			unit.CodeNoEndpoint,
			[]Missing{{"a", unit.CodeNoEndpoint}},
		},
		{
			"every replica known to be leaving", 0,
			SnapshotPlan{Snapshot: 7, Shards: []Shard{{ID: "a", AllLeaving: true}}},
			0,
			unit.CodeDraining,
			[]Missing{{"a", unit.CodeDraining}},
		},
		{"woken up too late", 0, pairs(7, "a"), time.Second, unit.CodeTooLate, []Missing{{"a", unit.CodeTooLate}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := Plan{Snapshot: tt.version.Snapshot, Shards: tt.version.Shards, Options: Options{Minimum: tt.minimum}}
			m := New(Query{ID: "r", Deadline: start.Add(time.Second)}, plan)
			assert.Equal(t, len(m.Start(start.Add(tt.at))), 0)
			assert.Assert(t, m.Done())
			assert.Equal(t, m.Answer().Code, tt.code)
			assert.DeepEqual(t, m.Answer().Missing, tt.missing)
		})
	}
}
