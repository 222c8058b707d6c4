package proc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// freezeTime is how long a process is frozen. It is longer than the maximum age of the state that a VM may act on.
const freezeTime = 2500 * time.Millisecond

// bothReplicasLeaving is a configuration change that takes both replicas of a shard out of service.
const bothReplicasLeaving = `{"searches": {"order-track": {"endpoints": {
	"ot-00-a": {"leaving": true}, "ot-00-b": {"leaving": true}}}}}`

// TestThawedNodeSendsNothingOnOldViews freezes an entry VM, takes two endpoints out of service, and sends queries to
// the frozen process. After the thaw, none of the queries may reach those endpoints: the process must update its state
// before it sends anything.
func TestThawedNodeSendsNothingOnOldViews(t *testing.T) {
	tests := []struct {
		name string
		// injectFault injects a fault before the process is thawed.
		injectFault func(d *Deployment)
	}{
		{"platform and peers answer", func(*Deployment) {}},
		{"the platform is down, a peer knows", func(d *Deployment) { d.SetPlatform("down=true") }},
		{"the platform is frozen, a peer knows", func(d *Deployment) { d.Platform.Freeze() }},
		{"the peer is lost, the platform knows", func(d *Deployment) { d.Nodes[0].Kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
			thawed := d.Nodes[1]
			sendQueries(thawed, "before")
			thawed.Freeze()
			d.Publish(changeFile, bothReplicasLeaving)
			Eventually(t, applyTimeout, "the change is in force on the other node", func() bool {
				return readStatus(d.Nodes[0]).Revision == 2
			})
			tt.injectFault(d)
			runs := d.Stats("ot-00-a").Runs + d.Stats("ot-00-b").Runs
			var wg sync.WaitGroup
			var row load.Row
			wg.Add(1)
			go func() {
				defer wg.Done()
				row = sendQueries(thawed, "frozen")
			}()
			time.Sleep(freezeTime)
			thawed.Thaw()
			wg.Wait()
			assert.Equal(t, d.Stats("ot-00-a").Runs+d.Stats("ot-00-b").Runs, runs)
			assert.Equal(t, row.Invalid, int64(0))
			assert.Equal(t, row.Partial, row.Sent, "whole %d, not run %d, unknown %d, cut %d (%v)",
				row.Whole, row.NotRun, row.Unknown, row.NoResponse, row.FirstError)
			assert.Assert(t, readCounter(thawed, "control.paused") > 0)
			assert.Equal(t, len(configsInForce(thawed)), 2)
			assert.Equal(t, readStatus(thawed).Revision, uint64(2))
		})
	}
}

// TestIsolatedThawedNodeKeepsServing freezes an entry VM and kills every process that it could update its state from.
// After the thaw and a bounded wait, it must serve with the state that it has.
func TestIsolatedThawedNodeKeepsServing(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
	thawed := d.Nodes[1]
	thawed.Freeze()
	d.Platform.Kill()
	d.Nodes[0].Kill()
	time.Sleep(freezeTime)
	thawed.Thaw()
	row := sendQueries(thawed, "alone")
	assert.Equal(t, row.Whole, row.Sent)
	assert.Assert(t, readCounter(thawed, "control.alone") > 0)
	assert.Equal(t, thawed.GetStatus("/ready"), http.StatusOK)
}

// TestQueriesDuringLongFreezeAreAnswered guards against cutting queries that came while the entry VM was frozen.
func TestQueriesDuringLongFreezeAreAnswered(t *testing.T) {
	// longFreezeTime is longer than an entry VM's read timeout.
	const longFreezeTime = 11 * time.Second
	tests := []struct {
		name string
		// before is how many bytes of the query are sent before the freeze.
		before int
	}{
		{"a new connection", 0},
		{"a part of the headers is read", 10},
		{"all but the last byte is read", -1},
	}
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 1})
	thawed := d.Nodes[0]
	var conns []net.Conn
	var rests []string
	for _, tt := range tests {
		conn, err := net.Dial("tcp", string(thawed.Caller))
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		body := `{"id": "q", "search": "order-track", "rank": "fitter", "timeout": 20000, "body": ""}`
		query := "POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		before := (tt.before + len(query)) % len(query)
		_, err = io.WriteString(conn, query[:before])
		assert.NilError(t, err)
		conns, rests = append(conns, conn), append(rests, query[before:])
	}
	time.Sleep(200 * time.Millisecond)
	thawed.Freeze()
	for i, rest := range rests {
		_, err := io.WriteString(conns[i], rest)
		assert.NilError(t, err)
	}
	time.Sleep(longFreezeTime)
	thawed.Thaw()
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.NilError(t, conns[i].SetReadDeadline(time.Now().Add(balancedTimeout)))
			resp, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}

// sendQueries sends queries to one entry VM and waits for the responses.
func sendQueries(n *Node, run string) load.Row {
	return load.Run(context.Background(), load.Settings{
		EntryAddresses: []unit.Address{n.Caller},
		Flows:          []load.Flow{{Search: "order-track", Rank: "fitter", Rate: 40, Timeout: balancedTimeout}},
		Duration:       time.Second / 2,
		Run:            run,
	})[0]
}
