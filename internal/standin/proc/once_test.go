package proc

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// sendOnceQuery sends a query that must run at most once. It returns a channel for the response, which has code 0 if
// there was none.
func sendOnceQuery(t *testing.T, to unit.Address, id string, timeout time.Duration) <-chan queryResponse {
	answers := make(chan queryResponse, 1)
	go func() {
		q := queryRequest{ID: id, Search: "stock", Once: true, Timeout: timeout.Milliseconds()}
		answer, _ := sendQuery(context.Background(), t, to, q)
		answers <- answer
	}()
	return answers
}

// TestOnceUnderFaults sends a query that must run at most once, on a search that hedges, while both replicas of a shard
// fail after they have run it. The query must not be retried or hedged.
func TestOnceUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults endpoint.Faults
		code   unit.Code
	}{
		{"connection closed after the run", endpoint.Faults{CloseAfterRun: true}, unit.CodeConnection},
		{"truncated", endpoint.Faults{Truncate: true}, unit.CodeConnection},
		{"another shard's response", endpoint.Faults{WrongShard: true}, unit.CodeBadReply},
		{"silent until the deadline", endpoint.Faults{Hang: true}, unit.CodeDeadline},
	}
	d := Start(t, Settings{Files: smallConfig(1, 2), EntryVMs: 1})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			warmUp(t, d, "stock", strconv.Itoa(i))
			for _, id := range []unit.EndpointID{"fa1", "fa2"} {
				d.SetFaults(id, tt.faults)
				defer d.SetFaults(id, endpoint.Faults{})
			}
			before := d.Stats("fa1").Runs + d.Stats("fa2").Runs
			answer := <-sendOnceQuery(t, d.Nodes[0].Caller, fmt.Sprintf("once-%d", i), time.Second)
			assert.Equal(t, unit.Code(answer.Code), unit.CodePartial)
			assert.Equal(t, answer.missingCode("fa"), tt.code)
			assert.Equal(t, d.Stats("fa1").Runs+d.Stats("fa2").Runs, before+1)
			assert.Equal(t, d.Stats("").RepeatedRuns, int64(0))
		})
	}
}

// TestOnceRefusedIsSentElsewhere checks that a query that must run at most once is retried at another endpoint if the
// first one has refused it, for draining or for a missing snapshot.
func TestOnceRefusedIsSentElsewhere(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1})
	d.SetFaults("fa1", endpoint.Faults{Draining: true})
	d.SetFaults("fb1", holdingSnapshots(1))
	for n := range 20 {
		answer := <-sendOnceQuery(t, d.Nodes[0].Caller, fmt.Sprintf("once-%d", n), longTimeout)
		assert.Equal(t, unit.Code(answer.Code), unit.CodeWhole)
	}
	assert.Equal(t, d.Stats("").RepeatedRuns, int64(0))
	assert.Equal(t, d.Stats("").Runs, int64(60))
}

// TestOnceWhenEntryFreezes freezes the entry VM while a query runs and thaws it after the deadline. The thawed VM must
// not retry, nor report the query as not run.
func TestOnceWhenEntryFreezes(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1})
	for _, id := range []unit.EndpointID{"fa1", "fa2"} {
		d.SetFaults(id, endpoint.Faults{CloseAfterRun: true, Slow: 100})
	}
	answers := sendOnceQuery(t, d.Nodes[0].Caller, "once", time.Second)
	Eventually(t, longTimeout, "the query runs", func() bool { return d.Stats("").Runs == 3 })
	d.Nodes[0].Freeze()
	time.Sleep(1500 * time.Millisecond)
	d.Nodes[0].Thaw()
	answer := <-answers
	assert.Assert(t, unit.Code(answer.Code).Outcome() != unit.OutcomeNotRun)
	assert.Assert(t, answer.missingCode("fa").Outcome() == unit.OutcomeUnknown)
	assert.Equal(t, d.Stats("").Runs, int64(3))
}

// TestOnceWhenEntryDies kills an entry VM while a query runs. Nothing may run twice, and no caller may be told "not
// run".
func TestOnceWhenEntryDies(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1, MedianServiceTime: 2 * time.Second})
	answers := sendOnceQuery(t, d.Nodes[0].Caller, "once", longTimeout)
	Eventually(t, longTimeout, "the query runs", func() bool { return d.Stats("").Runs == 3 })
	d.Nodes[0].Kill()
	assert.Equal(t, (<-answers).Code, 0)
	assert.Equal(t, d.Stats("").Runs, int64(3))
	assert.Equal(t, d.Stats("").RepeatedRuns, int64(0))
}

// TestOnceUnderLoadWithFaults checks that queries run at most once under load while endpoints close connections,
// truncate responses, drain and drop a snapshot.
func TestOnceUnderLoadWithFaults(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(1, 2), EntryVMs: 2})
	d.SetFaults("fa1", endpoint.Faults{CloseAfterRun: true})
	d.SetFaults("fb1", endpoint.Faults{Slow: 20, Truncate: true})
	rows := make(chan []load.Row)
	go func() {
		rows <- load.Run(context.Background(), load.Settings{
			EntryAddresses: d.CallerAddresses(),
			Flows:          []load.Flow{{Search: "stock", Rank: "first", Rate: 60, Timeout: longTimeout, Once: true}},
			Duration:       4 * time.Second,
			Run:            "once",
		})
	}()
	time.Sleep(time.Second)
	d.SetFaults("fc1", holdingSnapshots(1))
	d.SetFaults("fc2", holdingSnapshots(1))
	time.Sleep(time.Second)
	d.SetFaults("fc1", endpoint.Faults{Draining: true})
	row := (<-rows)[0]
	assert.Equal(t, row.Invalid, int64(0))
	assert.Equal(t, row.Whole+row.Partial, row.Sent)
	assert.Equal(t, d.Stats("").RepeatedRuns, int64(0))
	assert.Assert(t, d.Stats("").Runs > 0)
}
