package proc

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// holdingSnapshots returns faults that make an endpoint have only the given snapshots.
func holdingSnapshots(ids ...unit.SnapshotID) endpoint.Faults { return endpoint.Faults{Snapshots: ids} }

// TestSnapshotChoice checks which snapshot answers when endpoints lack the newest one.
func TestSnapshotChoice(t *testing.T) {
	tests := []struct {
		name     string
		faults   map[unit.EndpointID]endpoint.Faults
		code     unit.Code
		snapshot uint64
	}{
		{"all have the newest snapshot", nil, unit.CodeWhole, 2},
		{
			"one replica has only the old snapshot",
			map[unit.EndpointID]endpoint.Faults{"da1": holdingSnapshots(1)},
			unit.CodeWhole, 2,
		},
		{
			"a shard has only the old snapshot",
			map[unit.EndpointID]endpoint.Faults{"da1": holdingSnapshots(1), "da2": holdingSnapshots(1)},
			unit.CodeWhole, 1,
		},
		{
			"two shards have no snapshot in common",
			map[unit.EndpointID]endpoint.Faults{
				"da1": holdingSnapshots(1), "da2": holdingSnapshots(1), "db1": holdingSnapshots(2), "db2": holdingSnapshots(2),
			},
			unit.CodePartial, 0,
		},
		{
			"only the old snapshot is complete; one replica truncates and the other is slow",
			map[unit.EndpointID]endpoint.Faults{
				"da1": holdingSnapshots(1), "da2": holdingSnapshots(1), "db1": {Truncate: true}, "db2": {Slow: 20},
			},
			unit.CodeWhole, 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Files: smallConfig(1, 2), EntryVMs: 1})
			for id, faults := range tt.faults {
				d.SetFaults(id, faults)
			}
			for n := range 5 {
				q := queryRequest{ID: fmt.Sprintf("q-%d", n), Search: "desk"}
				answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, q)
				assert.Assert(t, ok)
				assert.Equal(t, unit.Code(answer.Code), tt.code)
				assert.Assert(t, tt.snapshot == 0 || answer.Snapshot == tt.snapshot, "snapshot %d", answer.Snapshot)
			}
		})
	}
}

// TestSnapshotDroppedDuringQuery makes a shard drop a snapshot while a slow attempt runs. The attempt's connection
// closes afterwards, and the retry finds the snapshot gone. The query must restart on the older snapshot and be
// answered whole.
func TestSnapshotDroppedDuringQuery(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(1, 2), EntryVMs: 1})
	for _, id := range []unit.EndpointID{"da1", "da2"} {
		d.SetFaults(id, endpoint.Faults{CloseAfterRun: true, Slow: 300})
	}
	answers := make(chan queryResponse)
	go func() {
		answer, _ := sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{ID: "q", Search: "desk"})
		answers <- answer
	}()
	countRuns := func() int64 { return d.Stats("da1").Runs + d.Stats("da2").Runs }
	Eventually(t, longTimeout, "the slow attempt runs", func() bool { return countRuns() == 1 })
	for _, id := range []unit.EndpointID{"da1", "da2"} {
		d.SetFaults(id, holdingSnapshots(1))
	}
	answer := <-answers
	assert.Equal(t, unit.Code(answer.Code), unit.CodeWhole)
	assert.Equal(t, answer.Snapshot, uint64(1))
	assert.Equal(t, len(answer.Parts), 3)
}

// TestSnapshotRollUnderLoad publishes a new snapshot with one shard less, has the endpoints drop the old snapshot one
// after the other, and then removes it from the configuration, while queries run and one endpoint is slow. Every query
// must be answered whole.
func TestSnapshotRollUnderLoad(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(1), EntryVMs: 2})
	d.SetFaults("dc1", endpoint.Faults{Slow: 10})
	rows := make(chan []load.Row)
	go func() {
		rows <- load.Run(context.Background(), load.Settings{
			EntryAddresses: d.CallerAddresses(),
			Flows:          []load.Flow{{Search: "desk", Rank: "first", Rate: 60, Timeout: longTimeout}},
			Duration:       6 * time.Second,
			Run:            "roll",
		})
	}()
	const snapshots = `{"searches": {"desk": {"snapshots": {%s}}}}`
	time.Sleep(time.Second)
	d.Publish("30-roll.json", fmt.Sprintf(snapshots, `"2": {"shards": ["da", "db"]}`))
	time.Sleep(time.Second)
	for _, id := range strings.Fields("da1 da2 db1 db2 dc1 dc2") {
		d.SetFaults(unit.EndpointID(id), holdingSnapshots(2))
		time.Sleep(200 * time.Millisecond)
	}
	d.Publish("30-roll.json", fmt.Sprintf(snapshots, `"1": null, "2": {"shards": ["da", "db"]}`))
	row := (<-rows)[0]
	assert.Equal(t, row.Invalid, int64(0))
	assert.Equal(t, row.Whole, row.Sent)
	answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{ID: "after", Search: "desk"})
	assert.Assert(t, ok)
	assert.Equal(t, answer.Snapshot, uint64(2))
	assert.Equal(t, answer.Asked, 2)
}
