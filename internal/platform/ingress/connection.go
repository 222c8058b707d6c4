package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/serve/port"
)

// connectionKey is the context key of a callerConnection.
type connectionKey struct{}

// callerConnection is the state of a caller's connection. Its requests are handled one after the other.
type callerConnection struct {
	// roundTrip is the round-trip time to the caller, or 0 if unknown.
	roundTrip time.Duration
	// hadRequest reports whether the connection has had a request.
	hadRequest bool
}

// onConnect adds the state of a new connection to its context.
func onConnect(ctx context.Context, _ network.Conn) context.Context {
	roundTrip, _ := port.FromContext(ctx).RoundTrip()
	return context.WithValue(ctx, connectionKey{}, &callerConnection{roundTrip: roundTrip})
}

// setConnectionInfo sets the request's round-trip time and whether it is the first on its connection. It also records
// that the connection has had a request, so it must be called once for each request.
func setConnectionInfo(ctx context.Context, q *dispatch.Request) {
	c, ok := ctx.Value(connectionKey{}).(*callerConnection)
	if !ok {
		return
	}
	q.RoundTrip = c.roundTrip
	q.NewConnection = !c.hadRequest
	c.hadRequest = true
}
