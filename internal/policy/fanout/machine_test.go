package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func twoShards() Plan {
	return Plan{Snapshot: 7, Options: Options{Allowance: 2}, Shards: []Shard{
		{ID: "a", Replicas: []unit.EndpointID{"a1", "a2"}},
		{ID: "b", Replicas: []unit.EndpointID{"b1", "b2"}},
	}}
}

func TestMachineAnswers(t *testing.T) {
	whole := func(attempt unit.AttemptID, shard unit.ShardID) Reply {
		return Reply{Attempt: attempt, Code: unit.CodeWhole, Snapshot: 7, Shard: shard}
	}
	tests := []struct {
		name     string
		once     bool
		replies  []Reply
		code     unit.Code
		missing  []Missing
		attempts int
	}{
		{
			name:     "each shard answers",
			replies:  []Reply{whole(1, "a"), whole(2, "b")},
			code:     unit.CodeWhole,
			attempts: 2,
		},
		{
			name:     "a repeated reply is dropped",
			replies:  []Reply{whole(1, "a"), whole(1, "a"), whole(2, "b")},
			code:     unit.CodeWhole,
			attempts: 2,
		},
		{
			name:     "a reply of another snapshot is no part",
			replies:  []Reply{{Attempt: 1, Code: unit.CodeWhole, Snapshot: 6, Shard: "a"}, whole(2, "b"), whole(3, "a")},
			code:     unit.CodeWhole,
			attempts: 3,
		},
		{
			name:     "a lost connection is not repeated for a request that runs once",
			once:     true,
			replies:  []Reply{{Attempt: 1, Code: unit.CodeConnection}, whole(2, "b")},
			code:     unit.CodePartial,
			missing:  []Missing{{Shard: "a", Code: unit.CodeConnection}},
			attempts: 2,
		},
		{
			name:     "a refused attempt may be repeated for a request that runs once",
			once:     true,
			replies:  []Reply{{Attempt: 1, Code: unit.CodeRefused}, whole(2, "b"), whole(3, "a")},
			code:     unit.CodeWhole,
			attempts: 3,
		},
		{
			name: "all replicas refuse",
			replies: []Reply{
				{Attempt: 1, Code: unit.CodeRefused},
				{Attempt: 2, Code: unit.CodeRefused},
				{Attempt: 3, Code: unit.CodeRefused},
				{Attempt: 4, Code: unit.CodeRefused},
			},
			code:     unit.CodeRefused,
			missing:  []Missing{{Shard: "a", Code: unit.CodeRefused}, {Shard: "b", Code: unit.CodeRefused}},
			attempts: 4,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New(Query{ID: "r", Deadline: start.Add(time.Second), Once: tt.once}, twoShards())
			m.Start(start)
			for _, reply := range tt.replies {
				m.HandleReply(start, reply)
			}
			answer := m.Answer()
			assert.Assert(t, m.Done())
			assert.Equal(t, answer.Code, tt.code)
			assert.DeepEqual(t, answer.Missing, tt.missing)
			assert.Equal(t, answer.Extra.Attempts, tt.attempts)
			assert.Equal(t, len(answer.Parts)+len(answer.Missing), answer.Asked)
		})
	}
}

func TestMachineDeadlineIsUnknown(t *testing.T) {
	m := New(Query{ID: "r", Deadline: start.Add(time.Second)}, twoShards())
	m.Start(start)
	actions := m.Tick(start.Add(time.Second))
	assert.Equal(t, len(actions), 2)
	m.Tick(m.NextTick())
	assert.Assert(t, m.Done())
	assert.Equal(t, m.Answer().Code, unit.CodeDeadline)
}
