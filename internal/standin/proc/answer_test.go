package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// longTimeout is a timeout that a query without faults does not reach.
const longTimeout = 20 * time.Second

type (
	// queryRequest is a query as a caller sends it.
	queryRequest struct {
		ID      string `json:"id"`
		Search  string `json:"search"`
		Rank    string `json:"rank"`
		Timeout int64  `json:"timeout"`
		Once    bool   `json:"once"`
		Body    []byte `json:"body,omitempty"`
	}

	// queryResponse is a response as a caller receives it.
	queryResponse struct {
		ID       string `json:"id"`
		Code     int    `json:"code"`
		Snapshot uint64 `json:"snapshot"`
		Asked    int    `json:"asked"`
		Parts    []struct {
			Shard string `json:"shard"`
			Body  []byte `json:"body"`
		} `json:"parts"`
		Missing []struct {
			Shard string `json:"shard"`
			Code  int    `json:"code"`
		} `json:"missing"`
		Extra struct {
			Attempts int `json:"attempts"`
		} `json:"extra"`
	}
)

// smallConfig returns a configuration of three searches: "desk", which hedges; "whole", which returns no result below
// full coverage; and "stock", whose queries run at most once. Each search has three shards with two endpoints each, and
// the given snapshots.
func smallConfig(snapshots ...int) []folder.File {
	kinds := []string{
		`"desk": {"tenant": "t", "aim": "coverage", "once": false, "hedge": true, "minimum": 0`,
		`"whole": {"tenant": "t", "aim": "latency", "once": false, "hedge": false, "minimum": 1`,
		`"stock": {"tenant": "t", "aim": "coverage", "once": true, "hedge": true, "minimum": 0`,
	}
	var searches []string
	for i, kind := range kinds {
		prefix := string(rune('d' + i))
		var endpoints, versions []string
		for n, shard := range []string{"a", "b", "c"} {
			for m, replica := range []string{"1", "2"} {
				endpoints = append(endpoints, fmt.Sprintf(
					`"%s%s%s": {"shard": "%s%s", "address": "10.0.%d.%d:80", "centre": "loopback", "slots": 2, "connections": 100}`,
					prefix, shard, replica, prefix, shard, i, 10*n+m+1))
			}
		}
		for _, id := range snapshots {
			versions = append(versions, fmt.Sprintf(`"%d": {"shards": ["%sa", "%sb", "%sc"]}`, id, prefix, prefix, prefix))
		}
		searches = append(searches, fmt.Sprintf(`%s, "snapshots": {%s}, "endpoints": {%s}}`,
			kind, strings.Join(versions, ", "), strings.Join(endpoints, ", ")))
	}
	content := fmt.Sprintf(`{"ranks": {"first": {"urgency": 1, "floor": 0.1}}, "searches": {%s}}`,
		strings.Join(searches, ", "))
	return []folder.File{{Name: "10-small.json", Content: []byte(content)}}
}

// sendQuery sends one query and returns its verified response. ok is false if there was none.
func sendQuery(ctx context.Context, t *testing.T, to unit.Address, q queryRequest) (answer queryResponse, ok bool) {
	t.Helper()
	q.Rank = "first"
	if q.Timeout == 0 {
		q.Timeout = longTimeout.Milliseconds()
	}
	body, err := json.Marshal(q)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+"/query", bytes.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return queryResponse{}, false
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return queryResponse{}, false
	}
	verifyResponse(t, q, answer)
	return answer, true
}

// verifyResponse checks that a response belongs to its request, comes from one snapshot and reports its coverage
// correctly.
func verifyResponse(t *testing.T, q queryRequest, answer queryResponse) {
	t.Helper()
	assert.Equal(t, answer.ID, q.ID)
	answered := unit.Code(answer.Code).Outcome() == unit.OutcomeAnswered
	assert.Assert(t, !answered || len(answer.Parts)+len(answer.Missing) == answer.Asked)
	assert.Assert(t, answered || len(answer.Parts) == 0)
	for _, p := range answer.Parts {
		want := endpoint.ReplyBody(unit.RequestID(q.ID), unit.ShardID(p.Shard), strconv.FormatUint(answer.Snapshot, 10))
		assert.Equal(t, string(p.Body), string(want))
	}
}

// missingCode returns the code of a missing shard, or 0 if it is not missing.
func (r queryResponse) missingCode(shard string) unit.Code {
	for _, m := range r.Missing {
		if m.Shard == shard {
			return unit.Code(m.Code)
		}
	}
	return 0
}

// warmUp sends queries one after the other until the hedging delay has a latency distribution to go by. name makes
// their IDs unique.
func warmUp(t *testing.T, d *Deployment, search, name string) {
	t.Helper()
	name = strings.ReplaceAll(name, " ", "-")
	for i := range 30 {
		answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{
			ID: fmt.Sprintf("warm-%s-%d", strings.ReplaceAll(name, " ", "-"), i), Search: search,
		})
		assert.Assert(t, ok)
		assert.Equal(t, unit.Code(answer.Code), unit.CodeWhole)
	}
}

// TestAnswersUnderEndpointFaults injects a fault at one or both endpoints of a shard and checks the response code and
// the code of the shard.
func TestAnswersUnderEndpointFaults(t *testing.T) {
	one, both := []unit.EndpointID{"da1"}, []unit.EndpointID{"da1", "da2"}
	tests := []struct {
		name   string
		search string
		where  []unit.EndpointID
		faults endpoint.Faults
		code   unit.Code
		shard  unit.Code
	}{
		{"one replica closes the connection", "desk", one, endpoint.Faults{CloseAfterRun: true}, unit.CodeWhole, 0},
		{"one replica truncates", "desk", one, endpoint.Faults{Truncate: true}, unit.CodeWhole, 0},
		{"one replica hangs", "desk", one, endpoint.Faults{Hang: true}, unit.CodeWhole, 0},
		{"one replica answers for another shard", "desk", one, endpoint.Faults{WrongShard: true}, unit.CodeWhole, 0},
		{"one replica answers from an old snapshot", "desk", one, endpoint.Faults{Stale: true}, unit.CodeWhole, 0},
		{"both replicas reply twice", "desk", both, endpoint.Faults{DuplicateReply: true}, unit.CodeWhole, 0},
		{
			"both close the connection", "desk", both,
			endpoint.Faults{CloseAfterRun: true},
			unit.CodePartial, unit.CodeConnection,
		},
		{"both truncate", "desk", both, endpoint.Faults{Truncate: true}, unit.CodePartial, unit.CodeConnection},
		{"both answer from an old snapshot", "desk", both, endpoint.Faults{Stale: true}, unit.CodePartial, unit.CodeBadReply},
		{"both hang", "desk", both, endpoint.Faults{Hang: true}, unit.CodePartial, unit.CodeDeadline},
		{
			"below the minimum", "whole",
			[]unit.EndpointID{"ea1", "ea2"},
			endpoint.Faults{Truncate: true},
			unit.CodeBelowMinimum, unit.CodeConnection,
		},
		// An endpoint that has reported that it is draining stays leaving, so these rows come last.
		{
			"one replica drains", "desk",
			[]unit.EndpointID{"db1"},
			endpoint.Faults{Draining: true},
			unit.CodeWhole, 0,
		},
		{"both drain", "desk", both, endpoint.Faults{Draining: true}, unit.CodePartial, unit.CodeDraining},
	}
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			warmUp(t, d, tt.search, tt.name)
			for _, id := range tt.where {
				d.SetFaults(id, tt.faults)
				defer d.SetFaults(id, endpoint.Faults{})
			}
			timeout := longTimeout
			if tt.shard == unit.CodeDeadline {
				timeout = time.Second
			}
			for n := range 4 {
				q := queryRequest{ID: fmt.Sprintf("q-%d-%d", i, n), Search: tt.search, Timeout: timeout.Milliseconds()}
				answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, q)
				assert.Assert(t, ok)
				assert.Equal(t, unit.Code(answer.Code), tt.code)
				assert.Equal(t, answer.missingCode(string(tt.where[0][:2])), tt.shard)
			}
		})
	}
}

// TestAnswersWhenEndpointsDrain has endpoints refuse from the first query on because they are draining. Each row needs
// its own deployment, because an entry VM keeps treating such an endpoint as leaving.
func TestAnswersWhenEndpointsDrain(t *testing.T) {
	tests := []struct {
		name  string
		where string
		code  unit.Code
		shard unit.Code
		runs  int64
	}{
		{"one replica", "da1", unit.CodeWhole, 0, 3},
		{"both replicas", "da1 da2", unit.CodePartial, unit.CodeDraining, 2},
		{"every endpoint", "da1 da2 db1 db2 dc1 dc2", unit.CodeDraining, unit.CodeDraining, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1})
			for _, id := range strings.Fields(tt.where) {
				d.SetFaults(unit.EndpointID(id), endpoint.Faults{Draining: true})
			}
			answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{ID: "q", Search: "desk"})
			assert.Assert(t, ok)
			assert.Equal(t, unit.Code(answer.Code), tt.code)
			assert.Equal(t, answer.missingCode("da"), tt.shard)
			assert.Equal(t, d.Stats("").Runs, tt.runs)
		})
	}
}

// TestAnswersWhenEndpointsFreezeAndDie freezes the endpoints during a query, thaws them, and then kills them.
func TestAnswersWhenEndpointsFreezeAndDie(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1})
	warmUp(t, d, "desk", "desk")
	d.Endpoints.Freeze()
	frozen := queryRequest{ID: "frozen", Search: "desk", Timeout: 500}
	answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, frozen)
	assert.Assert(t, ok)
	assert.Equal(t, unit.Code(answer.Code), unit.CodeDeadline)
	d.Endpoints.Thaw()
	Eventually(t, longTimeout, "the endpoints answer again", func() bool {
		answer, ok := sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{ID: "thawed", Search: "desk"})
		return ok && unit.Code(answer.Code) == unit.CodeWhole
	})
	d.Endpoints.Kill()
	Eventually(t, longTimeout, "the entry VM detects the closed connections", func() bool {
		answer, ok = sendQuery(context.Background(), t, d.Nodes[0].Caller, queryRequest{ID: "dead", Search: "desk"})
		return ok && unit.Code(answer.Code) == unit.CodeNotConnected
	})
	assert.Equal(t, len(answer.Missing), 3)
}

// TestCancellationReachesEndpoints disconnects a caller while its query runs. The endpoints must stop working on it.
func TestCancellationReachesEndpoints(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(2), EntryVMs: 1, MedianServiceTime: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan bool)
	go func() {
		_, ok := sendQuery(ctx, t, d.Nodes[0].Caller, queryRequest{ID: "q", Search: "desk"})
		answered <- ok
	}()
	Eventually(t, longTimeout, "the query runs", func() bool { return d.Stats("").Runs == 3 })
	cancel()
	assert.Assert(t, !<-answered)
	Eventually(t, longTimeout, "the endpoints cancel the calls", func() bool { return d.Stats("").Wasted == 3 })
}

// TestLoadWithTwoFaults checks that every response is correct under load while one endpoint is slow, one truncates its
// responses and one hangs.
func TestLoadWithTwoFaults(t *testing.T) {
	d := Start(t, Settings{Files: smallConfig(1, 2), EntryVMs: 2})
	d.SetFaults("da1", endpoint.Faults{Slow: 10})
	d.SetFaults("db1", endpoint.Faults{Truncate: true})
	d.SetFaults("dc1", endpoint.Faults{Hang: true})
	rows := load.Run(context.Background(), load.Settings{
		EntryAddresses: d.CallerAddresses(),
		Flows:          []load.Flow{{Search: "desk", Rank: "first", Rate: 50, Timeout: longTimeout}},
		Duration:       3 * time.Second,
		Run:            "faults",
	})
	assert.Equal(t, rows[0].Invalid, int64(0))
	assert.Equal(t, rows[0].Whole+rows[0].Partial, rows[0].Sent, "%+v", rows[0])
}
