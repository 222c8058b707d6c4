package gateway

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/shard"
)

// TestPlannedStop checks that a stop answers what it has read, asks callers to connect anew and takes the VM out of the
// balancer's rotation.
func TestPlannedStop(t *testing.T) {
	w := newFixture(t)
	w.grace = 2 * time.Second
	w.start()
	for _, e := range w.endpoints {
		e.Delay = 300 * time.Millisecond
	}
	conn := w.dial()
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	const text = "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n"
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	w.await(func() bool { return w.runs("r1") == 1 })
	w.gateway.BeginDrain()
	assert.Assert(t, !w.gateway.Ready())
	done := make(chan error, 1)
	w.closed = true
	go func() { done <- w.gateway.Close() }()
	got := w.read(r, "GET")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.closed)
	assert.Equal(t, w.request("GET", "/one/x", "r2", "").status, 200)
	assert.NilError(t, <-done)
	_, err = net.Dial("tcp", string(w.gateway.callers.Address()))
	assert.Assert(t, err != nil)
}

// TestCallerDisconnectCancelsAttempts checks that endpoints are no longer kept at work for a caller that has left.
func TestCallerDisconnectCancelsAttempts(t *testing.T) {
	w := newFixture(t).start()
	w.setMode(shard.ModeHang, "a0", "a1", "b0", "b1", "c0", "c1")
	c := w.dial()
	_, err := io.WriteString(c, "GET /all/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	w.await(func() bool { return w.runs("r1") >= 3 })
	assert.NilError(t, c.Close())
	for _, e := range w.endpoints {
		for _, run := range e.Runs() {
			select {
			case <-run.CallerDone:
			case <-time.After(waitTimeout):
				t.Fatal("an endpoint is kept at work")
			}
		}
	}
}

// TestStopWithinGrace checks that a stop does not wait for a request beyond its grace time, and that the caller has a
// final answer all the same.
func TestStopWithinGrace(t *testing.T) {
	w := newFixture(t).start()
	w.setMode(shard.ModeHang, "a0", "a1")
	c := w.dial()
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	w.await(func() bool { return w.runs("r1") >= 1 })
	w.closed = true
	assert.NilError(t, w.gateway.Close())
	// A stop that waits for the request's own time-out would have it answered 504.
	assert.Equal(t, w.read(bufio.NewReader(c), "GET").status, 502)
}
