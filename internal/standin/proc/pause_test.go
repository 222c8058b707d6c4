package proc

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// freezeTime is how long a process is frozen; it is longer than a view may be old.
const freezeTime = 2500 * time.Millisecond

// bothReplicasLeaving takes both replicas of one shard out of service.
const bothReplicasLeaving = `{"searches": {"order-track": {"endpoints": {
	"ot-00-a": {"leaving": true}, "ot-00-b": {"leaving": true}}}}}`

// TestThawedNodeSendsNothingOnOldViews freezes an entry VM, takes two endpoints out of service, and has queries wait
// for the frozen process. Once it goes on, none of them may reach those endpoints.
func TestThawedNodeSendsNothingOnOldViews(t *testing.T) {
	tests := []struct {
		name string
		// trouble is made before the process goes on.
		trouble func(d *Deployment)
	}{
		{"platform and peers answer", func(*Deployment) {}},
		{"the platform is down, a peer knows", func(d *Deployment) { d.SetPlatform("down=true") }},
		{"the platform is frozen, a peer knows", func(d *Deployment) { d.Platform.Freeze() }},
		{"the peer is lost, the platform knows", func(d *Deployment) { d.Nodes[0].Kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
			woken := d.Nodes[1]
			sendQueries(woken, "before")
			woken.Freeze()
			d.Publish(changeFile, bothReplicasLeaving)
			Eventually(t, applyTimeout, "the change is in force on the other node", func() bool {
				return readStatus(d.Nodes[0]).Revision == 2
			})
			tt.trouble(d)
			runs := d.Stats("ot-00-a").Runs + d.Stats("ot-00-b").Runs
			var wg sync.WaitGroup
			var row load.Row
			wg.Add(1)
			go func() {
				defer wg.Done()
				row = sendQueries(woken, "frozen")
			}()
			time.Sleep(freezeTime)
			woken.Thaw()
			wg.Wait()
			assert.Equal(t, d.Stats("ot-00-a").Runs+d.Stats("ot-00-b").Runs, runs)
			assert.Equal(t, row.Invalid, int64(0))
			assert.Equal(t, row.Partial, row.Sent, "whole %d, not run %d, unknown %d, cut %d (%v)",
				row.Whole, row.NotRun, row.Unknown, row.NoResponse, row.FirstError)
			assert.Assert(t, readCounter(woken, "control.paused") > 0)
			assert.Equal(t, len(configsInForce(woken)), 2)
			assert.Equal(t, readStatus(woken).Revision, uint64(2))
		})
	}
}

// TestIsolatedThawedNodeKeepsServing freezes an entry VM and takes everything away that it could ask: it serves on with what
// it knows, after a bounded wait.
func TestIsolatedThawedNodeKeepsServing(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
	woken := d.Nodes[1]
	woken.Freeze()
	d.Platform.Kill()
	d.Nodes[0].Kill()
	time.Sleep(freezeTime)
	woken.Thaw()
	row := sendQueries(woken, "alone")
	assert.Equal(t, row.Whole, row.Sent)
	assert.Assert(t, readCounter(woken, "control.alone") > 0)
	assert.Equal(t, woken.GetStatus("/ready"), http.StatusOK)
}

// sendQueries sends queries to one entry VM and waits for the answers.
func sendQueries(n *Node, run string) load.Row {
	return load.Run(context.Background(), load.Settings{
		EntryAddresses: []unit.Address{n.Caller},
		Flows:          []load.Flow{{Search: "order-track", Rank: "fitter", Rate: 40, Timeout: balancedTimeout}},
		Duration:       time.Second / 2,
		Run:            run,
	})[0]
}
