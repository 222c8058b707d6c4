// Package keepalive tracks the persistent connections of a hertz server, so that a shutdown closes idle connections and
// lets the requests on the others finish.
//
// Hertz counts a persistent connection as busy for as long as it is open, and its own shutdown waits for all of them.
package keepalive

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/serve/port"
)

// lateFirstByteTimeout bounds the wait for the first byte of a connection that is accepted after CloseIdle.
const lateFirstByteTimeout = 50 * time.Millisecond

// Tracker records which connections of one server have a request in flight. It is registered with hertz as a tracer:
// hertz calls Start before a request is read and Finish after its response has been sent.
//
// Hertz calls Start for the first request of a connection when it has accepted the connection, before a byte has come.
type Tracker struct {
	mu sync.Mutex
	// conns has the open connections.
	conns    map[network.Conn]*connection
	draining bool
	// closing reports whether CloseIdle has been called.
	closing bool
}

// connection is the state of one open connection.
type connection struct {
	accepted *port.Conn
	// closed reports whether CloseIdle has closed the connection.
	closed bool
	// release is what ReleaseAfter has been given for the last request, nil once it has been called.
	release func()
}

// callRelease calls the function that ReleaseAfter has been given, if there is one. The caller holds the tracker's mu.
func (c *connection) callRelease() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

// New returns a tracker without connections.
func New() *Tracker {
	return &Tracker{conns: make(map[network.Conn]*connection)}
}

// Options returns the server options that the tracker needs.
func (t *Tracker) Options() []config.Option {
	return []config.Option{server.WithTracer(t)}
}

// Start marks the connection of a later request as unanswered, since all bytes of the request may have been read together
// with the one before it. On the first request of a connection, it arranges that forget is called when hertz has closed
// the connection.
//
// Every connection is accepted by a port.Listener whose port.Context is hertz's OnAccept.
func (t *Tracker) Start(ctx context.Context, rc *app.RequestContext) context.Context {
	conn := rc.GetConn()
	t.mu.Lock()
	c, known := t.conns[conn]
	if known {
		c.accepted.Unanswered()
	} else {
		c = &connection{accepted: port.FromContext(ctx)}
		t.conns[conn] = c
	}
	closing := t.closing
	t.mu.Unlock()
	if known {
		return ctx
	}
	if !c.accepted.OnClose(func() { t.forget(conn) }) {
		// A request that was read together with the one before it, at whose end Finish has closed the connection.
		t.forget(conn)
	}
	if closing {
		_ = conn.SetReadTimeout(lateFirstByteTimeout)
	}
	return ctx
}

// Finish marks the connection of a request as answered, and closes it if CloseIdle was called while the request was in
// flight.
func (t *Tracker) Finish(_ context.Context, rc *app.RequestContext) {
	t.mu.Lock()
	c, known := t.conns[rc.GetConn()]
	if known {
		c.accepted.Answered()
		c.callRelease()
	}
	closing := t.closing
	t.mu.Unlock()
	if known && closing {
		_ = c.accepted.Close()
	}
}

// ReleaseAfter has release called once the response to a request has been written, or its connection has closed. It is
// called once for a request, and release must not call the tracker. nil does nothing.
func (t *Tracker) ReleaseAfter(rc *app.RequestContext, release func()) {
	if release == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, known := t.conns[rc.GetConn()]; known {
		c.release = release
		return
	}
	release()
}

// BeginDrain makes CloseIfDraining mark each further response as the last of its connection. Requests are still served,
// and idle connections stay open until CloseIdle.
func (t *Tracker) BeginDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// CloseIfDraining marks a response as the last of its connection if a planned stop has begun. Handlers call it for each
// response.
func (t *Tracker) CloseIfDraining(rc *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		rc.SetConnectionClose()
	}
}

// Answerable reports whether the caller can still receive a response. A request may be read from a connection just as
// CloseIdle closes the connection as idle, or together with one at whose end Finish closes the connection. Such a
// request must not be forwarded, since its caller regards it as unread.
func (t *Tracker) Answerable(rc *app.RequestContext) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.conns[rc.GetConn()]
	return known && !c.closed
}

// CloseIdle closes the connections without a request in flight. Finish closes the others after their response. It is
// called once, when the server closes, not at the start of a drain. Answerable returns false for the closed connections
// from then on.
func (t *Tracker) CloseIdle() {
	t.mu.Lock()
	t.closing = true
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if c.accepted.Idle() {
			c.closed = true
			c.accepted.Disconnect()
		}
	}
}

// forget removes a connection that hertz has closed. Start arranges the call.
func (t *Tracker) forget(conn network.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, known := t.conns[conn]; known {
		c.callRelease()
	}
	delete(t.conns, conn)
}
