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
	// healthCheckPeriod is the time between two of the balancer's checks; it is far below balancerLag.
	healthCheckPeriod = 50 * time.Millisecond
	// balancedSenders is how many callers send one query after the other.
	balancedSenders = 16
	// balancedTimeout is the deadline of their queries.
	balancedTimeout = 20 * time.Second
)

// balancedLoad sends queries to the entry VMs that its checks found ready, on connections that are kept, as callers
// behind the platform's balancer do. A call that could not connect goes to the next entry VM; any other failed call
// was cut off.
type balancedLoad struct {
	nodes  []*Node
	search unit.SearchName
	rank   unit.RankName
	ready  []atomic.Bool
	client *http.Client
	stop   context.CancelFunc
	wg     sync.WaitGroup

	next        atomic.Int64
	whole       atomic.Int64
	cutOff      atomic.Int64
	refused     atomic.Int64
	mu          sync.Mutex
	firstCutOff string
}

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

// Close ends the sending and waits.
func (b *balancedLoad) Close() {
	b.stop()
	b.wg.Wait()
	b.client.CloseIdleConnections()
}

func (b *balancedLoad) pollReadiness(ctx context.Context, i int) {
	defer b.wg.Done()
	for ctx.Err() == nil {
		b.ready[i].Store(b.nodes[i].GetStatus("/ready") == http.StatusOK)
		time.Sleep(healthCheckPeriod)
	}
}

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

func (b *balancedLoad) recordCutOff(text string) {
	b.cutOff.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstCutOff == "" {
		b.firstCutOff = text
	}
}

// sendQuery sends one query and gives the code of its answer.
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

// TestRollingPlannedStopInterruptsNoQuery stops and starts every entry VM in turn, twice, under load.
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

// TestPlannedStopFinishesSlowRequest stops an entry VM while a query runs that takes longer than the lag and than
// the usual time that HTTP servers give a shutdown.
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

// TestDrainingNodeClosesKeepAliveConnections asks an entry VM before and during the lag of a planned stop: it answers in
// both, and in the second has its caller end the connection.
func TestDrainingNodeClosesKeepAliveConnections(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 1, Prepare: func(_ *Deployment, n *Node) {
		n.Lag = readyTimeout
	}})
	n := d.Nodes[0]
	body := `{"id": "kept", "search": "order-track", "rank": "fitter", "timeout": 20000, "body": ""}`
	tests := []struct {
		name string
		do   func()
		ends bool
	}{
		{"serving", func() {}, false},
		{"draining", func() {
			n.Terminate()
			Eventually(t, readyTimeout, "it is not ready", func() bool { return n.GetStatus("/ready") == http.StatusServiceUnavailable })
		}, true},
	}
	for _, tt := range tests {
		tt.do()
		resp, err := http.Post("http://"+string(n.Caller)+"/query", "application/json", strings.NewReader(body))
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, http.StatusOK, tt.name)
		assert.Equal(t, resp.Close, tt.ends, tt.name)
		assert.NilError(t, resp.Body.Close())
	}
}
