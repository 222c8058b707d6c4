package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/shard"
)

const (
	// stopConnections is the number of connections that are open when the stop begins. The requests that are sent on them
	// cover the grace time and stopOverlap more.
	stopConnections = 120
	stopOverlap     = 200 * time.Millisecond
	// unboundedTimeout is what a caller states that waits longer than a stop takes.
	unboundedTimeout = time.Minute
	// shortTimeout fits into a stop with a short grace time, so that requests which must not be repeated are forwarded in
	// its first half.
	shortTimeout = 900 * time.Millisecond
)

// TestStopAnswersEveryRequestItHasForwarded guards against requests that are lost when a stopping process exits.
func TestStopAnswersEveryRequestItHasForwarded(t *testing.T) {
	usualGrace, shortGrace, longGrace := defaultBounds.Grace, 2*time.Second, 10*time.Second
	tests := []struct {
		name      string
		mode      shard.Mode
		delay     time.Duration
		path      Path
		remaining time.Duration
		grace     time.Duration
	}{
		{"hanging endpoints", shard.ModeHang, 0, PathOne, callerTimeout, usualGrace},
		{"hanging endpoints, not idempotent", shard.ModeHang, 0, PathOnce, callerTimeout, usualGrace},
		{"hanging shards", shard.ModeHang, 0, PathAll, callerTimeout, usualGrace},
		{"hanging endpoints, patient callers", shard.ModeHang, 0, PathOne, unboundedTimeout, usualGrace},
		{"slow endpoints", shard.ModeServe, 1200 * time.Millisecond, PathOne, callerTimeout, usualGrace},
		{"slow endpoints, not idempotent", shard.ModeServe, 1200 * time.Millisecond, PathOnce, callerTimeout, usualGrace},
		{"little time, hanging endpoints, not idempotent", shard.ModeHang, 0, PathOnce, shortTimeout, shortGrace},
		{"little time, slow endpoints", shard.ModeServe, 500 * time.Millisecond, PathOne, unboundedTimeout, shortGrace},
		{"little time, slow endpoints, not idempotent", shard.ModeServe, 500 * time.Millisecond, PathOnce, shortTimeout, shortGrace},
		{"little time, slow shards", shard.ModeServe, 500 * time.Millisecond, PathAll, unboundedTimeout, shortGrace},
		{"much time, slow endpoints, not idempotent", shard.ModeServe, 1500 * time.Millisecond, PathOnce, callerTimeout, longGrace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bounds := defaultBounds
			bounds.Grace = tt.grace
			dep := newDeployment(t, 1, bounds)
			conns := dep.openConnections(stopConnections)
			for _, e := range dep.endpoints {
				e.SetMode(tt.mode)
				e.Delay = tt.delay
			}
			var wg sync.WaitGroup
			for i, c := range conns {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(i) * (tt.grace + stopOverlap) / stopConnections)
					dep.sendDuringStop(c, tt.path, tt.remaining)
				}()
			}
			h := dep.finish()
			wg.Wait()
			runs := h.runsByRequest()
			forwarded := 0
			for _, req := range h.Requests {
				if len(runs[req.ID]) == 0 {
					continue
				}
				forwarded++
				if req.Status == 0 {
					t.Errorf("%s was forwarded and got no answer after %v: %v", req.ID, req.Ended.Sub(req.Sent), req.Err)
				}
			}
			checkNotRun(h, t.Errorf)
			checkRunOnce(h, t.Errorf)
			assert.Equal(t, h.Lifetimes[0].ExitCode, 0, h.Lifetimes[0].Log)
			assert.Assert(t, forwarded > 0)
			if t.Failed() {
				t.Log(h.Lifetimes[0].Log)
			}
		})
	}
}

// openConnections opens connections to the first VM and sends one request on each, so that the VM tracks them as kept
// connections.
func (dep *deployment) openConnections(n int) []net.Conn {
	dep.t.Helper()
	conns := make([]net.Conn, 0, n)
	for i := range n {
		c, err := net.Dial("tcp", string(dep.vms[0].callersAddress))
		assert.NilError(dep.t, err)
		dep.t.Cleanup(func() { _ = c.Close() })
		req := Request{ID: unit.RequestID(fmt.Sprint("open", i)), Path: PathOne, Method: http.MethodGet, Remaining: callerTimeout}
		_, err = c.Write([]byte(req.encode()))
		assert.NilError(dep.t, err)
		more, err := req.readResponse(bufio.NewReader(c))
		assert.NilError(dep.t, err)
		assert.Assert(dep.t, more)
		conns = append(conns, c)
	}
	return conns
}

// sendDuringStop sends a request with an ID of its own on an open connection.
func (dep *deployment) sendDuringStop(c net.Conn, path Path, remaining time.Duration) {
	dep.send(c, Request{
		ID:   unit.RequestID("s" + strings.ReplaceAll(c.LocalAddr().String(), ":", "-")),
		Path: path, Method: http.MethodGet, Remaining: remaining, Sent: time.Now(),
	})
}

// send sends a request on an open connection, waits for its response or the end of the connection, and records both.
func (dep *deployment) send(c net.Conn, req Request) {
	_, req.Err = c.Write([]byte(req.encode()))
	if req.Err == nil {
		_, req.Err = req.readResponse(bufio.NewReader(c))
	}
	req.Ended = time.Now()
	dep.history.update(func(h *History) { h.Requests = append(h.Requests, req) })
}
