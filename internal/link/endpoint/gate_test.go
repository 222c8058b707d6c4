package endpoint

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// stubConn is a connection whose writes end in a set way.
type stubConn struct {
	net.Conn
	n   int
	err error
}

// Write gives what it was set to.
func (f stubConn) Write([]byte) (int, error) { return f.n, f.err }

func TestWriteGuard(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	broken := errors.New("broken")
	tests := []struct {
		name     string
		deadline time.Time
		inner    stubConn
		closed   bool
		err      error
		sent     bool
	}{
		{name: "a write", deadline: now.Add(1), inner: stubConn{n: 1}, sent: true},
		{name: "a write that fails without a byte", deadline: now.Add(1), inner: stubConn{err: broken}, err: broken},
		{name: "a write that fails after a byte", deadline: now.Add(1), inner: stubConn{n: 1, err: broken}, err: broken, sent: true},
		{name: "a write at the deadline", deadline: now, inner: stubConn{n: 1}, err: errTooLate},
		{name: "a write after the call ended", deadline: now.Add(1), inner: stubConn{n: 1}, closed: true, err: errCallEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &writeGuard{now: func() time.Time { return now }, deadline: tt.deadline}
			c := &conn{Conn: tt.inner}
			c.guard.Store(g)
			if tt.closed {
				assert.Assert(t, !g.close())
			}
			_, err := c.Write([]byte("x"))
			assert.Assert(t, errors.Is(err, tt.err))
			assert.Equal(t, g.close(), tt.sent)
		})
	}
}

// TestWriteGuardRace lets a write race the end of its call: a call that ends as not sent is never written.
func TestWriteGuardRace(t *testing.T) {
	for range 2000 {
		g := &writeGuard{now: time.Now, deadline: time.Now().Add(time.Minute)}
		c := &conn{Conn: stubConn{n: 1}}
		c.guard.Store(g)
		var wg sync.WaitGroup
		var written error
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, written = c.Write([]byte("x"))
		}()
		sent := g.close()
		wg.Wait()
		assert.Equal(t, sent, written == nil)
	}
}

func TestWriteWithoutCallIsRefused(t *testing.T) {
	_, err := io.WriteString(&conn{Conn: stubConn{n: 1}}, "x")
	assert.Assert(t, errors.Is(err, errCallEnded))
}
