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

// runFlood sends more than the endpoints can take and gives the row. No query's deadline comes near, so that no call is
// cancelled: an endpoint notices that a little later than the owner has filled the slot again.
func runFlood(d *Deployment, run string) load.Row {
	return load.Run(context.Background(), load.Settings{
		EntryAddresses: d.CallerAddresses(),
		Flows:          []load.Flow{{Search: "plain", Rank: "upkeep", Rate: 200, Timeout: 60 * time.Second}},
		Duration:       3 * time.Second,
		Run:            run,
	})[0]
}

// TestSlotsAreNotOverrun floods endpoints of two slots through five entry VMs: no endpoint ever has more calls than its
// slots.
func TestSlotsAreNotOverrun(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 5, MedianServiceTime: 20 * time.Millisecond})
	waitForMembers(t, d, 5)
	row := runFlood(d, "slots")
	stats := d.Stats("")
	assert.Equal(t, row.Invalid, int64(0))
	assert.Equal(t, row.Whole, row.Sent)
	if countSuspicions(d) > 0 {
		t.Log("an entry VM was silent for a while, so two VMs may have called one endpoint")
		assert.Assert(t, stats.MaxPending <= 2+2+3, "%d calls at once", stats.MaxPending)
		return
	}
	assert.Assert(t, stats.MaxPending <= 2, "%d calls at once", stats.MaxPending)
}

// TestOverrunIsBoundedWhileAnOwnerIsFrozen floods while the owner of an endpoint is frozen and comes back: each of the
// other three VMs may add a guest's call, and the next owner as many as the first.
func TestOverrunIsBoundedWhileAnOwnerIsFrozen(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 5, MedianServiceTime: 20 * time.Millisecond})
	waitForMembers(t, d, 5)
	owner := ownerOf(d, "s0a")
	time.AfterFunc(time.Second, owner.Freeze)
	time.AfterFunc(2*time.Second, owner.Thaw)
	row := runFlood(d, "frozen")
	assert.Equal(t, row.Invalid, int64(0))
	most := d.Stats("s0a").MaxPending
	t.Logf("%d calls at once at an endpoint of two slots", most)
	assert.Assert(t, most <= 2+2+3, "%d calls at once", most)
}

// TestSheddingEndpoint has one replica of each shard refuse everything: each query is answered by the other, and the
// refusing ones are asked less than once for each query.
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
