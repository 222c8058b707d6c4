package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/config/folder"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/standin/endpoint"
)

const (
	// benchSearch and benchRank select the measured query, which fans out to benchShards shards.
	benchSearch unit.SearchName = "fitter-desk"
	benchRank                   = "fitter"
	benchShards                 = 40
	// benchServiceTime is the median service time of the endpoints.
	benchServiceTime = time.Millisecond
)

// startBench starts a deployment with one entry VM, waits until it is ready, and returns it with the measured search.
func startBench(b *testing.B) (*Bench, *catalog.Search) {
	b.Helper()
	hlog.SetOutput(io.Discard)
	bench, err := Start(context.Background(), Settings{
		Deployment: example.AlWadi,
		EntryVMs:   1,
		Fleet:      endpoint.FleetSettings{Median: benchServiceTime, Seed: 1, Loopback: true},
		Log:        slog.New(slog.DiscardHandler),
	})
	assert.NilError(b, err)
	b.Cleanup(func() { assert.Check(b, bench.Close()) })
	assert.NilError(b, bench.WaitReady(context.Background(), 10*time.Second))
	built, problems := folder.Build(bench.Files)
	assert.Equal(b, len(problems), 0)
	return bench, built.Searches[benchSearch]
}

// directClient queries one replica of each shard concurrently, without an entry VM.
type directClient struct {
	client    *http.Client
	plan      fanout.Plan
	search    *catalog.Search
	addresses map[unit.EndpointID]unit.Address
}

func newDirectClient(b *testing.B, search *catalog.Search) *directClient {
	b.Helper()
	plan, ok := fanout.ChoosePlan(search, "r", func(catalog.Endpoint) fanout.EndpointState {
		return fanout.EndpointState{}
	})
	assert.Assert(b, ok)
	d := &directClient{
		client:    &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 3}},
		plan:      plan,
		search:    search,
		addresses: make(map[unit.EndpointID]unit.Address),
	}
	for _, e := range search.Endpoints {
		d.addresses[e.ID] = e.Address
	}
	return d
}

// query queries every shard and returns how many answered.
func (d *directClient) query(id string) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for _, shard := range d.plan.Shards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if d.call(id, shard) {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		}()
	}
	wg.Wait()
	return answered
}

// call sends the query to the first replica of a shard and reports whether it answered.
func (d *directClient) call(id string, shard fanout.Shard) bool {
	url := "http://" + string(d.addresses[shard.Replicas[0]]) + "/leaf"
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(id)))
	if err != nil {
		return false
	}
	req.Header.Set("X-Request", id)
	req.Header.Set("X-Shard", string(shard.ID))
	req.Header.Set("X-Snapshot", strconv.FormatUint(uint64(d.plan.Snapshot), 10))
	req.Header.Set("X-Remaining-Ms", "10000")
	resp, err := d.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && len(body) > 0
}

// queryEntryVM sends the query to the entry VM and returns how many shards answered.
func queryEntryVM(client *http.Client, entry unit.Address, id string) int {
	body, err := json.Marshal(map[string]any{
		"id": id, "search": benchSearch, "rank": benchRank, "timeout": 10_000, "body": []byte(id),
	})
	if err != nil {
		return 0
	}
	resp, err := client.Post("http://"+string(entry)+"/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Parts []json.RawMessage `json:"parts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0
	}
	return len(answer.Parts)
}

// BenchmarkOverhead measures a query to 40 shards through one entry VM, and the same query sent directly to the same
// endpoints, one query at a time. The difference is the overhead of the entry VM.
func BenchmarkOverhead(b *testing.B) {
	bench, search := startBench(b)
	d := newDirectClient(b, search)
	client := &http.Client{Transport: &http.Transport{Proxy: nil}}
	entry := bench.CallerAddresses()[0]
	paths := []struct {
		name  string
		query func(id string) int
	}{
		{"direct", d.query},
		{"entry", func(id string) int { return queryEntryVM(client, entry, id) }},
	}
	for _, path := range paths {
		b.Run(path.name, func(b *testing.B) {
			for i := range 20 {
				path.query("warm-" + strconv.Itoa(i))
			}
			latency := metric.NewLatency()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				if n := path.query(path.name + "-" + strconv.Itoa(i)); n != benchShards {
					b.Fatalf("%d of %d shards answered", n, benchShards)
				}
				latency.Record(time.Since(began))
			}
			b.ReportMetric(float64(latency.Quantile(0.5).Microseconds()), "p50-us")
			b.ReportMetric(float64(latency.Quantile(0.99).Microseconds()), "p99-us")
		})
	}
}
