package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

// wholeAnswer returns a whole answer of one shard to the query with this id.
func wholeAnswer(id string) wireAnswer {
	body := endpoint.ReplyBody(unit.RequestID(id), "s", "1")
	return wireAnswer{
		ID:       id,
		Code:     int(unit.CodeWhole),
		Snapshot: 1,
		Shards:   1,
		Parts:    []wirePart{{Shard: "s", Body: body}},
		Extra:    wireExtra{Attempts: 1},
	}
}

// startEntryVM starts an HTTP server that plays an entry VM: answer handles each query.
func startEntryVM(t *testing.T, answer func(w http.ResponseWriter, q wireQuery)) unit.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q wireQuery
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer(w, q)
	}))
	t.Cleanup(s.Close)
	return unit.Address(s.Listener.Addr().String())
}

func writeAnswer(w http.ResponseWriter, answer wireAnswer) {
	_ = json.NewEncoder(w).Encode(answer)
}

// TestRunClassifiesAnswers guards against answers that are counted under the wrong result or pass the checks of their
// invariants although they are wrong.
func TestRunClassifiesAnswers(t *testing.T) {
	changed := func(change func(a *wireAnswer)) func(w http.ResponseWriter, q wireQuery) {
		return func(w http.ResponseWriter, q wireQuery) {
			a := wholeAnswer(q.ID)
			change(&a)
			writeAnswer(w, a)
		}
	}
	noParts := func(code unit.Code) func(w http.ResponseWriter, q wireQuery) {
		return changed(func(a *wireAnswer) { a.Code, a.Parts = int(code), nil })
	}
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, q wireQuery)
		want   Row
	}{
		{"whole", changed(func(*wireAnswer) {}), Row{Whole: 1, Extra: Extra{Attempts: 1}}},
		{
			"partial",
			changed(func(a *wireAnswer) {
				a.Code, a.Shards, a.Missing = int(unit.CodePartial), 2, []wireMissing{{Shard: "t"}}
				a.Extra = wireExtra{Attempts: 4, Hedges: 1, Retries: 1}
			}),
			Row{Partial: 1, Extra: Extra{Attempts: 4, Hedges: 1, Retries: 1}},
		},
		{"not run", noParts(unit.CodeOverloaded), Row{NotRun: 1, Extra: Extra{Attempts: 1}}},
		{"unknown", noParts(unit.CodeDeadline), Row{Unknown: 1, Extra: Extra{Attempts: 1}}},
		{
			"cut",
			func(http.ResponseWriter, wireQuery) { panic(http.ErrAbortHandler) },
			Row{NoResponse: 1},
		},
		{
			"no JSON",
			func(w http.ResponseWriter, _ wireQuery) { _, _ = w.Write([]byte("hello")) },
			Row{NoResponse: 1},
		},
		{
			"late",
			func(w http.ResponseWriter, q wireQuery) {
				time.Sleep(time.Duration(q.Timeout+1) * time.Millisecond)
				writeAnswer(w, wholeAnswer(q.ID))
			},
			Row{Late: 1, Extra: Extra{Attempts: 1}},
		},
		{
			"another request's answer",
			changed(func(a *wireAnswer) { a.ID = "other" }),
			Row{Whole: 1, Invalid: 1, Extra: Extra{Attempts: 1}},
		},
		{
			"body of another snapshot",
			changed(func(a *wireAnswer) { a.Snapshot = 2 }),
			Row{Whole: 1, Invalid: 1, Extra: Extra{Attempts: 1}},
		},
		{
			"fewer shards accounted for than queried",
			changed(func(a *wireAnswer) { a.Shards = 2 }),
			Row{Whole: 1, Invalid: 1, Extra: Extra{Attempts: 1}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timeout := 20 * time.Second
			if tt.want.Late > 0 {
				timeout = 50 * time.Millisecond
			}
			rows := Run(context.Background(), Settings{
				EntryAddresses: []unit.Address{startEntryVM(t, tt.answer)},
				Flows:          []Flow{{Search: "x", Rank: "r", Rate: 1, Timeout: timeout}},
				Duration:       time.Second,
			})
			got := rows[0]
			assert.Equal(t, got.FirstError != nil, tt.want.NoResponse > 0)
			got.Flow, got.Latency, got.FirstError = Flow{}, nil, nil
			tt.want.Sent = 1
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestRunCountsRefusedConnections guards against refused connections that are not counted: nothing listens at the
// address of the entry VM.
func TestRunCountsRefusedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	rows := Run(context.Background(), Settings{
		EntryAddresses: []unit.Address{unit.Address(l.Addr().String())},
		Flows:          []Flow{{Rate: 100, Timeout: time.Second}},
		Duration:       50 * time.Millisecond,
	})
	assert.Equal(t, rows[0].NoResponse, int64(5))
	assert.Equal(t, rows[0].Sent, int64(5))
}

// TestLatencyStartsAtIntendedSendTime guards against coordinated omission, that is, against latencies without the wait
// in the generator: only one query may be in flight and the entry VM is slow, so the last query waits for all others.
func TestLatencyStartsAtIntendedSendTime(t *testing.T) {
	const queries = 5
	const serviceTime = 50 * time.Millisecond
	entry := startEntryVM(t, func(w http.ResponseWriter, q wireQuery) {
		time.Sleep(serviceTime)
		writeAnswer(w, wholeAnswer(q.ID))
	})
	rows := Run(context.Background(), Settings{
		EntryAddresses: []unit.Address{entry},
		Flows:          []Flow{{Rate: 1000, Timeout: 20 * time.Second}},
		Duration:       queries * time.Millisecond,
		MaxInFlight:    1,
	})
	assert.Equal(t, rows[0].Whole, int64(queries))
	assert.Assert(t, rows[0].Latency.Quantile(1) >= queries*serviceTime-2*queries*time.Millisecond)
}

// TestRunLimitsQueriesInFlight guards against more queries in flight than MaxInFlight: the entry VM answers only after
// all queries have timed out, so those over the limit must count as unsent.
func TestRunLimitsQueriesInFlight(t *testing.T) {
	const limit = 3
	var open, over atomic.Int64
	entry := startEntryVM(t, func(w http.ResponseWriter, q wireQuery) {
		if open.Add(1) > limit {
			over.Add(1)
		}
		defer open.Add(-1)
		time.Sleep(1500 * time.Millisecond)
		writeAnswer(w, wholeAnswer(q.ID))
	})
	rows := Run(context.Background(), Settings{
		EntryAddresses: []unit.Address{entry},
		Flows:          []Flow{{Rate: 500, Timeout: 200 * time.Millisecond}, {Rate: 500, Timeout: 200 * time.Millisecond}},
		Duration:       20 * time.Millisecond,
		MaxInFlight:    limit,
	})
	assert.Equal(t, over.Load(), int64(0))
	total := int64(0)
	for _, r := range rows {
		assert.Equal(t, r.Sent+r.Unsent, int64(10))
		total += r.Unsent
	}
	assert.Equal(t, total, int64(20-limit))
}

func TestMeasureSumsByRank(t *testing.T) {
	entry := startEntryVM(t, func(w http.ResponseWriter, q wireQuery) {
		a := wholeAnswer(q.ID)
		if q.Search == "b" {
			a.Code, a.Parts = int(unit.CodeOverloaded), nil
		}
		writeAnswer(w, a)
	})
	counts := []endpoint.Stats{{Runs: 10, Wasted: 1}, {Runs: 30, Wasted: 6, Refused: 2}}
	report, err := Measure(context.Background(), Settings{
		EntryAddresses: []unit.Address{entry},
		Flows: []Flow{
			{Search: "a", Rank: "desk", Rate: 100, Timeout: 10 * time.Second},
			{Search: "b", Rank: "desk", Rate: 100, Timeout: 10 * time.Second},
			{Search: "a", Rank: "archive", Rate: 50, Timeout: 10 * time.Second},
		},
		Duration: 100 * time.Millisecond,
	}, func() (endpoint.Stats, error) {
		next := counts[0]
		counts = counts[1:]
		return next, nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Ranks, []Rank{
		{Name: "archive", Sent: 5, Good: 5, Goodput: 50},
		{Name: "desk", Sent: 20, Good: 10, Goodput: 100},
	})
	assert.DeepEqual(t, *report.Endpoints, endpoint.Stats{Runs: 20, Wasted: 5, Refused: 2})
	var table, text bytes.Buffer
	assert.NilError(t, PrintReport(&table, report))
	assert.Assert(t, strings.Contains(table.String(), "5 wasted (25.0%)"), table.String())
	assert.NilError(t, PrintJSON(&text, report))
	var wire wireReport
	assert.NilError(t, json.Unmarshal(text.Bytes(), &wire))
	assert.Equal(t, wire.Endpoints.WastedShare, 0.25)
	assert.Equal(t, wire.Flows[1].NotRun, int64(10))
	assert.Assert(t, wire.Flows[0].P99 > 0)
}

func TestExtraShare(t *testing.T) {
	tests := []struct {
		name  string
		extra Extra
		want  float64
	}{
		{"none", Extra{}, 0},
		{"no extra load", Extra{Attempts: 40}, 0},
		{"hedges and retries", Extra{Attempts: 44, Hedges: 3, Retries: 1}, 0.1},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.extra.Share(), tt.want, tt.name)
	}
}
