package caller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/core/metric"
	"basilspan/internal/serve/port"
)

// The counters of callers that are cut off.
const (
	counterRefused     = "caller.connections.refused"
	counterReadTimeout = "caller.read.timeout"
)

// guard bounds the connections of callers by count, and the reading of each request by time. Hertz's own read timeout
// starts again at each byte, so that a caller who sends a byte now and then would hold a goroutine for ever.
type guard struct {
	metrics *metric.Set
	limit   int64
	// readTimeout bounds the time from the first byte of a request, or from the connection's start, to the last byte.
	readTimeout time.Duration
	open        atomic.Int64
}

// readTimerKey is the context key of a connection's watch.
type readTimerKey struct{}

// readTimer is the time limit of one connection.
type readTimer struct {
	timer *time.Timer
}

// options give the server options that the guard needs.
func (g *guard) options() []config.Option {
	return []config.Option{server.WithOnConnect(g.onConnect), server.WithTracer(g)}
}

// onConnect takes a new connection.
func (g *guard) onConnect(ctx context.Context, conn network.Conn) context.Context {
	if g.open.Add(1) > g.limit {
		g.open.Add(-1)
		g.metrics.Add(counterRefused, 1)
		_ = conn.Close()
		return ctx
	}
	w := &readTimer{timer: time.AfterFunc(g.readTimeout, func() {
		g.metrics.Add(counterReadTimeout, 1)
		_ = conn.Close()
	})}
	port.OnClose(conn, func() {
		w.timer.Stop()
		g.open.Add(-1)
	})
	return context.WithValue(ctx, readTimerKey{}, w)
}

// Start takes the first bytes of a request.
func (g *guard) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	if w, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		w.timer.Reset(g.readTimeout)
	}
	return ctx
}

// stopReadTimer takes the last byte of a request.
func (g *guard) stopReadTimer(ctx context.Context) {
	if w, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		w.timer.Stop()
	}
}

// Finish takes the end of an answer; the server's idle timeout bounds the time to the next request.
func (g *guard) Finish(ctx context.Context, _ *app.RequestContext) {
	g.stopReadTimer(ctx)
}
