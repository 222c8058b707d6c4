package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/core/metric"
	"basilspan/internal/serve/port"
)

// Counters of connections that the guard closes.
const (
	counterRefused     = "caller.connections.refused"
	counterReadTimeout = "caller.read.timeout"
)

// guard limits the number of open connections and the time to read each request. It is needed since the read timeout of
// hertz restarts at each byte, so that a caller that sends a byte now and then would hold a goroutine forever.
type guard struct {
	metrics *metric.Set
	limit   int64
	// readTimeout bounds the time from the first byte of a request, or from the opening of the connection for its first
	// request, to the last byte, together with port.LateTimeout.
	readTimeout time.Duration
	open        atomic.Int64
}

// readTimerKey is the context key of a connection's read timer.
type readTimerKey struct{}

// readTimer closes one connection when a request on it has not been read in time.
type readTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	// reading reports whether the timer runs.
	reading bool
	// late reports whether the read timeout has passed and the timer runs for port.LateTimeout.
	late bool
}

// options returns the server options that the guard needs.
func (g *guard) options() []config.Option {
	return []config.Option{server.WithOnConnect(g.onConnect), server.WithTracer(g)}
}

// onConnect counts a new connection and starts its read timer, or closes the connection if there are too many. Hertz
// calls it when a connection is opened.
func (g *guard) onConnect(ctx context.Context, _ network.Conn) context.Context {
	accepted := port.FromContext(ctx)
	if g.open.Add(1) > g.limit {
		g.open.Add(-1)
		g.metrics.Add(counterRefused, 1)
		accepted.Disconnect()
		return ctx
	}
	t := &readTimer{}
	t.start(g.readTimeout, func() {
		if t.expire() {
			g.metrics.Add(counterReadTimeout, 1)
			accepted.Disconnect()
		}
	})
	accepted.OnClose(func() {
		t.stop()
		g.open.Add(-1)
	})
	return context.WithValue(ctx, readTimerKey{}, t)
}

// Start restarts the read timer. Hertz calls it, as a tracer, at the first bytes of a request.
func (g *guard) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	if t, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		t.restart(g.readTimeout)
	}
	return ctx
}

// stopReadTimer stops the read timer of the connection that ctx belongs to. It is called when the request has been
// read.
func (g *guard) stopReadTimer(ctx context.Context) {
	if t, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		t.stop()
	}
}

// Finish stops the read timer in case the request was not read to its end. Hertz calls it after the response; the
// server's idle timeout bounds the time until the next request.
func (g *guard) Finish(ctx context.Context, _ *app.RequestContext) {
	g.stopReadTimer(ctx)
}

// start starts the timer, which calls expired when it ends.
func (t *readTimer) start(timeout time.Duration, expired func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = true
	t.timer = time.AfterFunc(timeout, expired)
}

// restart starts the timer for a new request.
func (t *readTimer) restart(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading, t.late = true, false
	t.timer.Reset(timeout)
}

// stop stops the timer.
func (t *readTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading = false
	t.timer.Stop()
}

// expire is called when the timer ends. It reports whether the request is too late; the first time, it runs the timer
// once more.
func (t *readTimer) expire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reading || t.late {
		return t.reading
	}
	t.late = true
	t.timer.Reset(port.LateTimeout)
	return false
}
