// Package keepalive tracks the kept connections of a hertz server, so that a shutdown closes those that wait for
// their next request and leaves the others to finish.
//
// Hertz counts a kept connection as busy for as long as it is open, and its own shutdown waits for all of them.
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

// Tracker knows which connections of one server have a request in flight. It is a tracer of hertz, which calls Start
// before a request is read and Finish after its answer has left.
type Tracker struct {
	mu       sync.Mutex
	busy     map[network.Conn]bool
	draining bool
	// closing says that CloseIdle has been called, and closed are the idle connections that it has closed.
	closing bool
	closed  map[network.Conn]bool
}

// New makes a tracker without connections.
func New() *Tracker {
	return &Tracker{busy: make(map[network.Conn]bool), closed: make(map[network.Conn]bool)}
}

// Options give the server options that the tracker needs.
func (t *Tracker) Options() []config.Option {
	return []config.Option{
		server.WithTracer(t),
		// The end of a connection ends its context, by which the tracker forgets it.
		server.WithSenseClientDisconnection(true),
	}
}

// Start notes that a request has begun on its connection.
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

// Finish notes that the answer has left. It closes a connection that CloseIdle passed over.
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

// BeginDrain has each further answer end its connection; requests are served on.
func (t *Tracker) BeginDrain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// CloseIfDraining marks an answer as the last of its connection when a planned stop has begun.
func (t *Tracker) CloseIfDraining(rc *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		rc.SetConnectionClose()
	}
}

// Answerable says whether the caller can still get an answer. A request may be read from a connection just as
// CloseIdle closes it as idle; it must not be passed on, since its caller sees it as not read.
func (t *Tracker) Answerable(rc *app.RequestContext) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.closed[rc.GetConn()]
}

// CloseIdle closes the connections that have no request in flight, and has the others closed after their answer.
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

func (t *Tracker) forget(conn network.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, conn)
	delete(t.closed, conn)
}
