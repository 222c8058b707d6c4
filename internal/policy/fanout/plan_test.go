package fanout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// searchOf makes a search over the shards "a" and "b" with two endpoints each.
func searchOf(snapshots ...catalog.Snapshot) *catalog.Search {
	s := &catalog.Search{Name: "s", Snapshots: snapshots}
	for _, shard := range []unit.ShardID{"a", "b"} {
		for _, replica := range []string{"1", "2"} {
			s.Endpoints = append(s.Endpoints, catalog.Endpoint{ID: unit.EndpointID(string(shard) + replica), Shard: shard})
		}
	}
	return s
}

func TestChooseSnapshot(t *testing.T) {
	old := catalog.Snapshot{ID: 1, Shards: []unit.ShardID{"a", "b"}}
	next := catalog.Snapshot{ID: 2, Shards: []unit.ShardID{"a", "b"}}
	split := catalog.Snapshot{ID: 3, Shards: []unit.ShardID{"a", "b", "c"}}
	lacks := func(ids ...unit.SnapshotID) EndpointState { return EndpointState{MissingSnapshots: ids} }
	tests := []struct {
		name       string
		snapshots  []catalog.Snapshot
		conditions map[unit.EndpointID]EndpointState
		chosen     unit.SnapshotID
		asked      int
		fallback   []unit.SnapshotID
	}{
		{"the newest", []catalog.Snapshot{old, next}, nil, 2, 2, []unit.SnapshotID{1}},
		{
			"one replica lacks the newest",
			[]catalog.Snapshot{old, next},
			map[unit.EndpointID]EndpointState{"a1": lacks(2)},
			2, 2,
			[]unit.SnapshotID{1},
		},
		{
			"a shard lacks the newest",
			[]catalog.Snapshot{old, next},
			map[unit.EndpointID]EndpointState{"a1": lacks(2), "a2": lacks(2)},
			1, 2,
			[]unit.SnapshotID{2},
		},
		{
			"a replica that has it is leaving",
			[]catalog.Snapshot{old, next},
			map[unit.EndpointID]EndpointState{"a1": lacks(2), "a2": {Leaving: true}},
			1, 2,
			[]unit.SnapshotID{2},
		},
		{"a new shard has no endpoint yet", []catalog.Snapshot{old, split}, nil, 1, 2, []unit.SnapshotID{3}},
		{
			"no snapshot is whole",
			[]catalog.Snapshot{old, next},
			map[unit.EndpointID]EndpointState{"a1": lacks(1, 2), "a2": lacks(1, 2)},
			2, 2,
			[]unit.SnapshotID{1},
		},
		{
			"nothing can be asked",
			[]catalog.Snapshot{old, next},
			map[unit.EndpointID]EndpointState{
				"a1": {Leaving: true}, "a2": {Leaving: true}, "b1": {Leaving: true}, "b2": {Leaving: true},
			},
			2, 2, nil,
		},
		{"an empty snapshot is no better", []catalog.Snapshot{old, {ID: 4}}, nil, 1, 2, nil},
		{"only an empty snapshot", []catalog.Snapshot{{ID: 4}}, nil, 4, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan, ok := ChoosePlan(searchOf(tt.snapshots...), "r", func(e catalog.Endpoint) EndpointState { return tt.conditions[e.ID] })
			assert.Assert(t, ok)
			assert.Equal(t, plan.Snapshot, tt.chosen)
			assert.Equal(t, len(plan.Shards), tt.asked)
			var fallback []unit.SnapshotID
			for _, v := range plan.Fallback {
				fallback = append(fallback, v.Snapshot)
			}
			assert.DeepEqual(t, fallback, tt.fallback)
		})
	}
}

func TestChooseWithoutSnapshot(t *testing.T) {
	_, ok := ChoosePlan(searchOf(), "r", func(catalog.Endpoint) EndpointState { return EndpointState{} })
	assert.Assert(t, !ok)
}

func TestChooseReplicas(t *testing.T) {
	tests := []struct {
		name    string
		first   EndpointState
		second  EndpointState
		want    []unit.EndpointID
		healthy int
	}{
		{"the faster", EndpointState{Latency: 50 * ms}, EndpointState{Latency: 5 * ms}, []unit.EndpointID{"a2", "a1"}, 2},
		{"the less busy", EndpointState{OpenAttempts: 2}, EndpointState{}, []unit.EndpointID{"a2", "a1"}, 2},
		{
			"a fast one with a queue",
			EndpointState{Latency: 5 * ms, OpenAttempts: 3},
			EndpointState{Latency: 10 * ms},
			[]unit.EndpointID{"a2", "a1"},
			2,
		},
		{"the nearer of two alike", EndpointState{Latency: 5 * ms}, EndpointState{Latency: 6 * ms, SameCentre: true}, []unit.EndpointID{"a2", "a1"}, 2},
		{"near does not outweigh slow", EndpointState{Latency: 5 * ms}, EndpointState{Latency: 50 * ms, SameCentre: true}, []unit.EndpointID{"a1", "a2"}, 2},
		{"an ejected one comes last", EndpointState{Ejected: true}, EndpointState{Latency: 50 * ms}, []unit.EndpointID{"a2", "a1"}, 1},
		{
			"both ejected are both asked",
			EndpointState{Ejected: true, OpenAttempts: 5},
			EndpointState{Ejected: true},
			[]unit.EndpointID{"a2", "a1"},
			0,
		},
		{"a leaving one is not asked", EndpointState{Leaving: true}, EndpointState{Ejected: true}, []unit.EndpointID{"a2"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conditions := map[unit.EndpointID]EndpointState{"a1": tt.first, "a2": tt.second}
			search := searchOf(catalog.Snapshot{ID: 1, Shards: []unit.ShardID{"a"}})
			plan, ok := ChoosePlan(search, "r", func(e catalog.Endpoint) EndpointState { return conditions[e.ID] })
			assert.Assert(t, ok)
			assert.DeepEqual(t, plan.Shards[0].Replicas, tt.want)
			assert.Equal(t, plan.Shards[0].Healthy, tt.healthy)
		})
	}
}

// TestChooseTriesOneDoubtful has both shards hold a doubtful endpoint: each plan tries exactly one of them, and over
// many requests both.
func TestChooseTriesOneDoubtful(t *testing.T) {
	tried := make(map[unit.EndpointID]int)
	search := searchOf(catalog.Snapshot{ID: 1, Shards: []unit.ShardID{"a", "b"}})
	for i := range 100 {
		plan, _ := ChoosePlan(search, unit.RequestID(fmt.Sprint(i)), func(e catalog.Endpoint) EndpointState {
			return EndpointState{Failing: e.ID == "a1" || e.ID == "b1"}
		})
		n := 0
		for _, s := range plan.Shards {
			if first := s.Replicas[0]; first == "a1" || first == "b1" {
				tried[first]++
				n++
			}
		}
		assert.Equal(t, n, 1)
	}
	assert.Assert(t, tried["a1"] > 20 && tried["b1"] > 20, "%v", tried)
}

// TestChooseSpreads asks both of two equal replicas first, by the request's id.
func TestChooseSpreads(t *testing.T) {
	first := make(map[unit.EndpointID]int)
	search := searchOf(catalog.Snapshot{ID: 1, Shards: []unit.ShardID{"a", "b"}})
	for i := range 1000 {
		plan, _ := ChoosePlan(search, unit.RequestID(fmt.Sprint(i)), func(catalog.Endpoint) EndpointState { return EndpointState{} })
		for _, s := range plan.Shards {
			first[s.Replicas[0]]++
		}
	}
	for _, id := range []unit.EndpointID{"a1", "a2", "b1", "b2"} {
		assert.Assert(t, first[id] > 400, "%s was first %d times", id, first[id])
	}
}
