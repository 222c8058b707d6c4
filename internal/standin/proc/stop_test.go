package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
)

const (
	// healthCheckPeriod is the time between two readiness checks by the load balancer. It is far below balancerLag.
	healthCheckPeriod = 50 * time.Millisecond
	// balancedSenders is the number of concurrent callers. Each sends one query after the other.
	balancedSenders = 16
	// balancedTimeout is the timeout of their queries.
	balancedTimeout = 20 * time.Second
)

// balancedLoad sends queries over keep-alive connections to the entry VMs that its readiness checks found ready, as
// callers behind the platform's load balancer do. A query that could not connect is not counted; the next one goes to
// the next entry VM. A query that got neither a whole result nor a refusal counts as cut off.
type balancedLoad struct {
	nodes  []*Node
	search unit.SearchName
	rank   unit.RankName
	ready  []atomic.Bool
	client *http.Client
	stop   context.CancelFunc
	wg     sync.WaitGroup

	// next numbers the queries.
	next        atomic.Int64
	whole       atomic.Int64
	cutOff      atomic.Int64
	refused     atomic.Int64
	mu          sync.Mutex
	firstCutOff string
}

// startBalancedLoad starts the readiness checks and the callers, until Close.
func startBalancedLoad(d *Deployment, search unit.SearchName, rank unit.RankName) *balancedLoad {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancedLoad{
		nodes:  d.Nodes,
		search: search,
		rank:   rank,
		ready:  make([]atomic.Bool, len(d.Nodes)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: balancedSenders}},
		stop:   cancel,
	}
	for i := range b.nodes {
		b.ready[i].Store(true)
		b.wg.Add(1)
		go b.pollReadiness(ctx, i)
	}
	for range balancedSenders {
		b.wg.Add(1)
		go b.sendQueries(ctx)
	}
	return b
}

// Close stops the load and waits for the queries in flight.
func (b *balancedLoad) Close() {
	b.stop()
	b.wg.Wait()
	b.client.CloseIdleConnections()
}

// pollReadiness updates the readiness of entry VM i until ctx is cancelled.
func (b *balancedLoad) pollReadiness(ctx context.Context, i int) {
	defer b.wg.Done()
	for ctx.Err() == nil {
		b.ready[i].Store(b.nodes[i].GetStatus("/ready") == http.StatusOK)
		time.Sleep(healthCheckPeriod)
	}
}

// sendQueries sends queries to the ready entry VMs in turn until ctx is cancelled.
func (b *balancedLoad) sendQueries(ctx context.Context) {
	defer b.wg.Done()
	for ctx.Err() == nil {
		n := b.next.Add(1)
		i := int(n) % len(b.nodes)
		if !b.ready[i].Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		b.recordResult(b.sendQuery(b.nodes[i].Caller, "b"+strconv.FormatInt(n, 10)))
	}
}

// recordResult counts a query as whole, refused or cut off, or not at all if it could not connect.
func (b *balancedLoad) recordResult(code unit.Code, err error) {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
	case err != nil:
		b.recordCutOff(err.Error())
	case code == unit.CodeWhole:
		b.whole.Add(1)
	case code.Outcome() == unit.OutcomeNotRun:
		b.refused.Add(1)
	default:
		b.recordCutOff(code.String())
	}
}

// recordCutOff counts a query as cut off and keeps the error or code of the first one.
func (b *balancedLoad) recordCutOff(text string) {
	b.cutOff.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstCutOff == "" {
		b.firstCutOff = text
	}
}

// sendQuery sends one query and returns the code of its response.
func (b *balancedLoad) sendQuery(to unit.Address, id string) (unit.Code, error) {
	body, err := json.Marshal(map[string]any{
		"id": id, "search": b.search, "rank": b.rank, "timeout": balancedTimeout.Milliseconds(), "body": []byte(id),
	})
	if err != nil {
		return 0, err
	}
	resp, err := b.client.Post("http://"+string(to)+"/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Code unit.Code `json:"code"`
	}
	err = json.Unmarshal(content, &answer)
	return answer.Code, err
}

// TestRollingPlannedStopInterruptsNoQuery restarts every entry VM in turn, twice, under load.
func TestRollingPlannedStopInterruptsNoQuery(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3})
	b := startBalancedLoad(d, "order-track", "fitter")
	defer b.Close()
	for range 2 {
		for _, n := range d.Nodes {
			n.Terminate()
			assert.Equal(t, n.Wait(), 0)
			d.StartNode(n)
			d.WaitReady()
		}
	}
	b.Close()
	t.Logf("whole %d, refused %d, cut off %d", b.whole.Load(), b.refused.Load(), b.cutOff.Load())
	assert.Equal(t, b.cutOff.Load(), int64(0), b.firstCutOff)
	assert.Assert(t, b.whole.Load() > 0)
}

// TestPlannedStopFinishesSlowRequest stops an entry VM while a query runs that takes longer than the lag and than the
// usual shutdown timeout of HTTP servers. The query must be answered, also if the signal is repeated.
func TestPlannedStopFinishesSlowRequest(t *testing.T) {
	tests := []struct {
		name    string
		signals int
	}{
		{"one signal", 1},
		{"a second and a third signal", 3},
	}
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: len(tests), MedianServiceTime: 6 * time.Second})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := d.Nodes[i]
			b := &balancedLoad{nodes: d.Nodes, search: "order-track", rank: "fitter", client: http.DefaultClient}
			done := make(chan struct{})
			before := d.Stats("").Runs
			go func() {
				defer close(done)
				b.recordResult(b.sendQuery(n.Caller, "slow-"+strconv.Itoa(i)))
			}()
			Eventually(t, readyTimeout, "the query runs", func() bool { return d.Stats("").Runs > before })
			for range tt.signals {
				n.Terminate()
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, n.GetStatus("/ready"), http.StatusServiceUnavailable)
			}
			<-done
			assert.Equal(t, b.whole.Load(), int64(1), b.firstCutOff)
			assert.Equal(t, n.Wait(), 0)
		})
	}
}

// TestDrainingNodeClosesKeepAliveConnections sends a query before a planned stop and one during its lag. Both must be
// answered, and the second response must tell the caller to close the connection.
func TestDrainingNodeClosesKeepAliveConnections(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 1, Prepare: func(_ *Deployment, n *Node) {
		n.Lag = readyTimeout
	}})
	n := d.Nodes[0]
	body := `{"id": "kept", "search": "order-track", "rank": "fitter", "timeout": 20000, "body": ""}`
	tests := []struct {
		name   string
		do     func()
		closes bool
	}{
		{"serving", func() {}, false},
		{"draining", func() {
			n.Terminate()
			Eventually(t, readyTimeout, "the node is not ready", func() bool {
				return n.GetStatus("/ready") == http.StatusServiceUnavailable
			})
		}, true},
	}
	for _, tt := range tests {
		tt.do()
		resp, err := http.Post("http://"+string(n.Caller)+"/query", "application/json", strings.NewReader(body))
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, http.StatusOK, tt.name)
		assert.Equal(t, resp.Close, tt.closes, tt.name)
		assert.NilError(t, resp.Body.Close())
	}
}
