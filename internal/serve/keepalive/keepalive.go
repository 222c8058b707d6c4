// Package keepalive tracks the persistent connections of a hertz server, so that a shutdown closes idle connections and
// lets the requests on the others finish.
//
// Hertz counts a persistent connection as busy for as long as it is open, and its own shutdown waits for all of them.
package keepalive

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/serve/port"
)

// Tracker records which connections of one server have a request in flight. It is registered with hertz as a tracer:
// hertz calls Start before a request is read and Finish after its response has been sent.
type Tracker struct {
	mu sync.Mutex
	// busy has the open connections, and whether a request is in flight.
	busy     map[network.Conn]bool
	draining bool
	// closing reports whether CloseIdle has been called.
	closing bool
	// closed has the idle connections that CloseIdle has closed.
	closed map[network.Conn]bool
}

// New returns a tracker without connections.
func New() *Tracker {
	return &Tracker{busy: make(map[network.Conn]bool), closed: make(map[network.Conn]bool)}
}

// Options returns the server options that the tracker needs.
func (t *Tracker) Options() []config.Option {
	return []config.Option{
		server.WithTracer(t),
		// Cancels the context of a connection when the caller closes it, which removes the connection from the tracker.
		server.WithSenseClientDisconnection(true),
	}
}

// Start marks the connection of a request as busy. On the first request of a connection, it also arranges that forget
// is called when the connection ends.
func (t *Tracker) Start(ctx context.Context, rc *app.RequestContext) context.Context {
	conn := rc.GetConn()
	t.mu.Lock()
	_, known := t.busy[conn]
	t.busy[conn] = true
	t.mu.Unlock()
	if !known && !port.OnClose(conn, func() { t.forget(conn) }) {
		context.AfterFunc(ctx, func() { t.forget(conn) })
	}
	return ctx
}

// Finish marks the connection of a request as idle, and closes it if CloseIdle was called while the request was in
// flight.
func (t *Tracker) Finish(_ context.Context, rc *app.RequestContext) {
	conn := rc.GetConn()
	t.mu.Lock()
	if _, known := t.busy[conn]; known {
		t.busy[conn] = false
	}
	closing := t.closing
	t.mu.Unlock()
	if closing {
		_ = conn.Close()
	}
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
// CloseIdle closes the connection as idle. Such a request must not be forwarded, since its caller regards it as unread.
func (t *Tracker) Answerable(rc *app.RequestContext) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.closed[rc.GetConn()]
}

// CloseIdle closes the connections without a request in flight. Finish closes the others after their response. It is
// called once, when the server closes, not at the start of a drain. Answerable returns false for the closed connections
// from then on.
func (t *Tracker) CloseIdle() {
	t.mu.Lock()
	t.closing = true
	var idle []network.Conn
	for conn, busy := range t.busy {
		if !busy {
			idle = append(idle, conn)
			t.closed[conn] = true
		}
	}
	t.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// forget removes a connection that has ended. Start arranges the call.
func (t *Tracker) forget(conn network.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, conn)
	delete(t.closed, conn)
}
