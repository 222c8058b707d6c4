package proc

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// runFlood sends more queries than the endpoints can serve and returns the result. The deadlines are long, so that no
// call is cancelled: an endpoint notices a cancellation only after the owner has already reused the slot.
func runFlood(d *Deployment, run string) load.Row {
	return load.Run(context.Background(), load.Settings{
		EntryAddresses: d.CallerAddresses(),
		Flows:          []load.Flow{{Search: "plain", Rank: "upkeep", Rate: 200, Timeout: 60 * time.Second}},
		Duration:       3 * time.Second,
		Run:            run,
	})[0]
}

// TestSlotsAreNotOverrun floods endpoints of two slots through five entry VMs. No endpoint may have more concurrent
// calls than slots. If a VM was silent for a while, two VMs may have called the same endpoint, and a wider bound
// applies.
func TestSlotsAreNotOverrun(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 5, MedianServiceTime: 20 * time.Millisecond})
	waitForMembers(t, d, 5)
	row := runFlood(d, "slots")
	stats := d.Stats("")
	assert.Equal(t, row.Invalid, int64(0))
	assert.Equal(t, row.Whole, row.Sent)
	if countSuspicions(d) > 0 {
		t.Log("an entry VM was silent for a while, so two VMs may have called the same endpoint")
		assert.Assert(t, stats.MaxPending <= 2+2+3, "%d concurrent calls", stats.MaxPending)
		return
	}
	assert.Assert(t, stats.MaxPending <= 2, "%d concurrent calls", stats.MaxPending)
}

// TestOverrunIsBoundedWhileAnOwnerIsFrozen floods while the owner of an endpoint is frozen and thawed. The overrun of
// the endpoint's slots must stay bounded: each of the other three VMs may add one call as a guest, and the next owner
// as many calls as the first.
func TestOverrunIsBoundedWhileAnOwnerIsFrozen(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 5, MedianServiceTime: 20 * time.Millisecond})
	waitForMembers(t, d, 5)
	owner := ownerOf(d, "s0a")
	time.AfterFunc(time.Second, owner.Freeze)
	time.AfterFunc(2*time.Second, owner.Thaw)
	row := runFlood(d, "frozen")
	assert.Equal(t, row.Invalid, int64(0))
	maxCalls := d.Stats("s0a").MaxPending
	t.Logf("%d concurrent calls at an endpoint of two slots", maxCalls)
	assert.Assert(t, maxCalls <= 2+2+3, "%d concurrent calls", maxCalls)
}

// TestSheddingEndpoint has one replica of each shard refuse every call. Each query must be answered by the other
// replica, and a refusing replica must get at most one call per query.
func TestSheddingEndpoint(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(3, 2, false), EntryVMs: 3, MedianServiceTime: 5 * time.Millisecond})
	waitForMembers(t, d, 3)
	for _, id := range []unit.EndpointID{"s0a", "s1a", "s2a"} {
		d.SetFaults(id, endpoint.Faults{Shedding: true})
	}
	row := load.Run(context.Background(), load.Settings{
		EntryAddresses: d.CallerAddresses(),
		Flows:          []load.Flow{{Search: "plain", Rank: "desk", Rate: 40, Timeout: 20 * time.Second}},
		Duration:       2 * time.Second,
		Run:            "shed",
	})[0]
	assert.Equal(t, row.Invalid, int64(0))
	assert.Equal(t, row.Whole, row.Sent)
	assert.Equal(t, d.Stats("s0a").Runs, int64(0))
	assert.Assert(t, d.Stats("s0a").Refused <= row.Sent)
}
