package endpoint

import (
	"net"
	"sync"
	"time"

	"basilspan/internal/core/unit"
)

// limitedListener is a listener that closes connections over its limit at once and delays the first read of the others,
// which simulates a connect time. Each open connection holds one of the tokens.
type limitedListener struct {
	net.Listener
	connectTime time.Duration
	tokens      chan struct{}
}

func newLimitedListener(inner net.Listener, connections unit.Connections, connectTime time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, connectTime: connectTime, tokens: make(chan struct{}, connections)}
}

// Accept waits for the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &delayedConn{Conn: c, wait: l.connectTime, release: func() { <-l.tokens }}, nil
		default:
			_ = c.Close()
		}
	}
}

// delayedConn is a connection whose first read is delayed.
type delayedConn struct {
	net.Conn
	wait    time.Duration
	first   sync.Once
	closed  sync.Once
	release func()
}

// Read reads from the connection; the first call sleeps for the connect time before it does.
func (d *delayedConn) Read(p []byte) (int, error) {
	d.first.Do(func() { time.Sleep(d.wait) })
	return d.Conn.Read(p)
}

// Close closes the connection and returns its token to the listener.
func (d *delayedConn) Close() error {
	d.closed.Do(d.release)
	return d.Conn.Close()
}
