package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// plainConfig returns a configuration with one search, "plain", of the given numbers of shards and replicas. Each
// endpoint has two slots.
func plainConfig(shards, replicas int, once bool) []folder.File {
	type wireEndpoint struct {
		Shard       string `json:"shard"`
		Address     string `json:"address"`
		Centre      string `json:"centre"`
		Slots       int    `json:"slots"`
		Connections int    `json:"connections"`
	}
	var names []string
	endpoints := make(map[string]wireEndpoint)
	for i := range shards {
		shard := "s" + strconv.Itoa(i)
		names = append(names, shard)
		for j := range replicas {
			endpoints[shard+string(rune('a'+j))] = wireEndpoint{
				Shard: shard, Address: endpointAddress(len(endpoints)), Centre: "loopback", Slots: 2, Connections: 25,
			}
		}
	}
	search := map[string]any{
		"tenant": "plain", "aim": "coverage", "once": once, "hedge": false,
		"snapshots": map[string]any{"1": map[string]any{"shards": names}}, "endpoints": endpoints,
	}
	ranks := map[string]any{
		"desk":   map[string]any{"urgency": 1, "floor": 0.2},
		"member": map[string]any{"urgency": 2, "floor": 0.15},
		"upkeep": map[string]any{"urgency": 3, "floor": 0.1},
	}
	content, err := json.Marshal(map[string]any{"ranks": ranks, "searches": map[string]any{"plain": search}})
	if err != nil {
		panic(err)
	}
	return []folder.File{{Name: "10-plain.json", Content: content}}
}

// endpointAddress returns a placeholder address for the nth endpoint.
func endpointAddress(n int) string {
	return "10.0." + strconv.Itoa(n/200) + "." + strconv.Itoa(n%200+1) + ":8080"
}

// readCounters returns the counters of an entry VM.
func readCounters(n *Node) map[string]int64 {
	var vars struct {
		Counters map[string]int64 `json:"counters"`
	}
	n.GetJSON("/debug/vars", &vars)
	return vars.Counters
}

// sumCounter returns the sum of a counter over the nodes.
func sumCounter(nodes []*Node, name string) int64 {
	var total int64
	for _, n := range nodes {
		total += readCounters(n)[name]
	}
	return total
}

// countSuspicions returns how often an entry VM treated another as silent or lost.
func countSuspicions(d *Deployment) int64 {
	return sumCounter(d.Nodes, "route.suspected") + sumCounter(d.Nodes, "route.lost")
}

// ownerOf returns the node that owns an endpoint while all nodes are live.
func ownerOf(d *Deployment, id unit.EndpointID) *Node {
	var members []member.Member
	for _, n := range d.Nodes {
		members = append(members, member.Member{ID: unit.NodeID(n.Name), Centre: "loopback", State: member.StateLive})
	}
	all := func(member.Member) bool { return true }
	owner, _ := ownership.Owner(members, catalog.Endpoint{ID: id, Centre: "loopback"}, all)
	for _, n := range d.Nodes {
		if n.Name == string(owner.ID) {
			return n
		}
	}
	return nil
}

// otherNodes returns all nodes except one.
func otherNodes(d *Deployment, not *Node) []*Node {
	var all []*Node
	for _, n := range d.Nodes {
		if n != not {
			all = append(all, n)
		}
	}
	return all
}

// callerAddresses returns the addresses of the nodes for callers.
func callerAddresses(nodes []*Node) []unit.Address {
	var all []unit.Address
	for _, n := range nodes {
		all = append(all, n.Caller)
	}
	return all
}

// sendPlainQuery sends one query of the search "plain" and returns its code, or 0 if there was no response.
func sendPlainQuery(n *Node, id string, once bool, timeout time.Duration) unit.Code {
	body, err := json.Marshal(map[string]any{
		"id": id, "search": "plain", "rank": "desk", "timeout": timeout.Milliseconds(), "once": once,
	})
	if err != nil {
		panic(err)
	}
	resp, err := http.Post("http://"+string(n.Caller)+"/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Code int `json:"code"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return 0
	}
	return unit.Code(answer.Code)
}

// TestOnlyOwnersCallEndpoints sends queries through every entry VM and checks that each endpoint is called by its owner
// only.
func TestOnlyOwnersCallEndpoints(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(6, 1, false), EntryVMs: 4})
	waitForMembers(t, d, 4)
	for i, n := range d.Nodes {
		for j := range 5 {
			assert.Equal(t, sendPlainQuery(n, strconv.Itoa(i)+"-"+strconv.Itoa(j), false, 20*time.Second), unit.CodeWhole)
		}
	}
	if countSuspicions(d) > 0 {
		t.Log("an entry VM was silent for a while, so other VMs called its endpoints")
		return
	}
	assert.Equal(t, d.Stats("").Runs, int64(4*5*6))
	assert.Equal(t, sumCounter(d.Nodes, "route.direct"), int64(0))
	assert.Equal(t, sumCounter(d.Nodes, "route.guest"), int64(0))
	// The attempts at a node's own endpoints need no hop: over all nodes, those of five queries for each of six
	// endpoints.
	assert.Equal(t, sumCounter(d.Nodes, "route.hop"), int64(4*5*6-5*6))
}

// waitForMembers waits until every node sees n live members.
func waitForMembers(t *testing.T, d *Deployment, n int) {
	t.Helper()
	for _, node := range d.Nodes {
		Eventually(t, readyTimeout, node.Name+" sees all members as live", func() bool {
			var status struct {
				Members []struct {
					State string `json:"state"`
				} `json:"members"`
			}
			live := 0
			node.GetJSON("/status", &status)
			for _, m := range status.Members {
				if m.State == string(member.StateLive) {
					live++
				}
			}
			return live == n
		})
	}
}

// TestOwnerFaults makes the owner of a shard's only endpoint fail in different ways while other entry VMs send
// idempotent queries. Every query must be answered whole before its deadline.
func TestOwnerFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(d *Deployment, owner *Node)
	}{
		{"killed", func(_ *Deployment, owner *Node) { owner.Kill() }},
		{"frozen", func(_ *Deployment, owner *Node) { owner.Freeze() }},
		{"frozen and thawed", func(_ *Deployment, owner *Node) {
			owner.Freeze()
			time.Sleep(400 * time.Millisecond)
			owner.Thaw()
		}},
		{"killed, and a second VM frozen", func(d *Deployment, owner *Node) {
			owner.Kill()
			otherNodes(d, owner)[0].Freeze()
		}},
		{"planned stop", func(_ *Deployment, owner *Node) { owner.Terminate() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 4, MedianServiceTime: 20 * time.Millisecond})
			waitForMembers(t, d, 4)
			owner := ownerOf(d, "s0a")
			rest := otherNodes(d, owner)
			done := make(chan []load.Row, 1)
			go func() {
				done <- load.Run(context.Background(), load.Settings{
					EntryAddresses: callerAddresses(rest[1:]),
					Flows:          []load.Flow{{Search: "plain", Rank: "desk", Rate: 30, Timeout: 20 * time.Second}},
					Duration:       3 * time.Second,
					Run:            "owner",
				})
			}()
			time.Sleep(500 * time.Millisecond)
			tt.fault(d, owner)
			rows := <-done
			assert.Equal(t, rows[0].Invalid, int64(0))
			assert.Equal(t, rows[0].Whole, rows[0].Sent)
		})
	}
}

// TestOnceWhenOwnerFails sends queries that must run at most once while their owner is killed, or frozen and thawed.
// None may run twice, and those reported as not run must not have run.
func TestOnceWhenOwnerFails(t *testing.T) {
	tests := []struct {
		name  string
		fault func(owner *Node)
	}{
		{"killed", func(owner *Node) { owner.Kill() }},
		{"frozen and thawed past the deadline", func(owner *Node) {
			owner.Freeze()
			time.Sleep(1500 * time.Millisecond)
			owner.Thaw()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Files: plainConfig(1, 2, true), EntryVMs: 4, MedianServiceTime: 20 * time.Millisecond})
			waitForMembers(t, d, 4)
			owner := ownerOf(d, "s0a")
			rest := otherNodes(d, owner)
			codes := make(chan unit.Code, 100)
			for i := range cap(codes) {
				go func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					codes <- sendPlainQuery(rest[i%len(rest)], "once-"+strconv.Itoa(i), true, time.Second)
				}()
			}
			time.Sleep(300 * time.Millisecond)
			tt.fault(owner)
			count := make(map[unit.Outcome]int64)
			for range cap(codes) {
				count[(<-codes).Outcome()]++
			}
			time.Sleep(time.Second)
			stats := d.Stats("")
			t.Logf("outcomes %v, endpoints %+v", count, stats)
			assert.Equal(t, stats.RepeatedRuns, int64(0))
			assert.Assert(t, stats.Runs >= count[unit.OutcomeAnswered])
			assert.Assert(t, stats.Runs <= count[unit.OutcomeAnswered]+count[unit.OutcomeUnknown])
		})
	}
}

// TestConflictingMemberLists has the platform's list report a VM as leaving while other VMs still use it. No query may
// fail.
func TestConflictingMemberLists(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 4, MedianServiceTime: 5 * time.Millisecond})
	waitForMembers(t, d, 4)
	owner := ownerOf(d, "s0a")
	done := make(chan []load.Row, 1)
	go func() {
		done <- load.Run(context.Background(), load.Settings{
			EntryAddresses: d.CallerAddresses(),
			Flows:          []load.Flow{{Search: "plain", Rank: "desk", Rate: 40, Timeout: 20 * time.Second}},
			Duration:       4 * time.Second,
			Run:            "views",
		})
	}()
	for _, state := range []string{"leaving", "live", "leaving"} {
		time.Sleep(time.Second)
		d.SetPlatform("vm=" + owner.Name + "&state=" + state)
	}
	rows := <-done
	assert.Equal(t, rows[0].Invalid, int64(0))
	assert.Equal(t, rows[0].Whole, rows[0].Sent)
	assert.Equal(t, d.Stats("").Refused, int64(0))
}

// TestDrainingEndpointsUnderLoad has one endpoint of each shard drain under load. Every query must be answered whole by
// the other one.
func TestDrainingEndpointsUnderLoad(t *testing.T) {
	d := Start(t, Settings{Files: plainConfig(3, 2, false), EntryVMs: 3, MedianServiceTime: 5 * time.Millisecond})
	waitForMembers(t, d, 3)
	for i := range 3 {
		d.SetFaults(unit.EndpointID("s"+strconv.Itoa(i)+"a"), endpoint.Faults{Draining: true})
	}
	rows := load.Run(context.Background(), load.Settings{
		EntryAddresses: d.CallerAddresses(),
		Flows:          []load.Flow{{Search: "plain", Rank: "desk", Rate: 40, Timeout: 20 * time.Second}},
		Duration:       2 * time.Second,
		Run:            "drain",
	})
	assert.Equal(t, rows[0].Invalid, int64(0))
	assert.Equal(t, rows[0].Whole, rows[0].Sent)
	for i := range 3 {
		assert.Equal(t, d.Stats(unit.EndpointID("s"+strconv.Itoa(i)+"a")).Runs, int64(0))
	}
}
