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
	// request, to the last byte.
	readTimeout time.Duration
	open        atomic.Int64
}

// readTimerKey is the context key of a connection's read timer.
type readTimerKey struct{}

// readTimer closes one connection when a request on it has not been read in time.
type readTimer struct {
	timer *time.Timer
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
	t := &readTimer{timer: time.AfterFunc(g.readTimeout, func() {
		g.metrics.Add(counterReadTimeout, 1)
		accepted.Disconnect()
	})}
	accepted.OnClose(func() {
		t.timer.Stop()
		g.open.Add(-1)
	})
	return context.WithValue(ctx, readTimerKey{}, t)
}

// Start restarts the read timer. Hertz calls it, as a tracer, at the first bytes of a request.
func (g *guard) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	if t, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		t.timer.Reset(g.readTimeout)
	}
	return ctx
}

// stopReadTimer stops the read timer of the connection that ctx belongs to. It is called when the request has been
// read.
func (g *guard) stopReadTimer(ctx context.Context) {
	if t, ok := ctx.Value(readTimerKey{}).(*readTimer); ok {
		t.timer.Stop()
	}
}

// Finish stops the read timer in case the request was not read to its end. Hertz calls it after the response; the
// server's idle timeout bounds the time until the next request.
func (g *guard) Finish(ctx context.Context, _ *app.RequestContext) {
	g.stopReadTimer(ctx)
}
