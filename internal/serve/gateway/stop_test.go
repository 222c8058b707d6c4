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

// TestPlannedStop checks that a VM that drains reports not ready, finishes the requests in flight, closes connections
// after their response and still serves new connections until it stops.
func TestPlannedStop(t *testing.T) {
	f := newFixture(t)
	f.grace = 2 * time.Second
	f.start()
	for _, e := range f.endpoints {
		e.Delay = 300 * time.Millisecond
	}
	conn := f.dial()
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	const text = "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n"
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
	f.await(func() bool { return f.runs("r1") == 1 })
	f.gateway.BeginDrain()
	assert.Assert(t, !f.gateway.Ready())
	done := make(chan error, 1)
	f.closed = true
	go func() { done <- f.gateway.Close() }()
	got := f.read(r, "GET")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.closed)
	assert.Equal(t, f.request("GET", "/one/x", "r2", "").status, 200)
	assert.NilError(t, <-done)
	_, err = net.Dial("tcp", string(f.gateway.callers.Address()))
	assert.Assert(t, err != nil)
}

// TestCallerDisconnectCancelsAttempts checks that the attempts at all endpoints are cancelled when the caller closes
// its connection.
func TestCallerDisconnectCancelsAttempts(t *testing.T) {
	f := newFixture(t).start()
	f.setMode(shard.ModeHang, "a0", "a1", "b0", "b1", "c0", "c1")
	c := f.dial()
	_, err := io.WriteString(c, "GET /all/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	f.await(func() bool { return f.runs("r1") >= 3 })
	assert.NilError(t, c.Close())
	for _, e := range f.endpoints {
		for _, run := range e.Runs() {
			select {
			case <-run.CallerDone:
			case <-time.After(waitTimeout):
				t.Fatal("the attempt was not cancelled")
			}
		}
	}
}

// TestStopWithinGrace checks that a stop does not wait for a hanging request beyond the grace time, and that the caller
// still gets a response.
func TestStopWithinGrace(t *testing.T) {
	f := newFixture(t).start()
	f.setMode(shard.ModeHang, "a0", "a1")
	c := f.dial()
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	f.await(func() bool { return f.runs("r1") >= 1 })
	f.closed = true
	assert.NilError(t, f.gateway.Close())
	// A stop that waited for the request's own timeout would result in status 504.
	assert.Equal(t, f.read(bufio.NewReader(c), "GET").status, 502)
}
