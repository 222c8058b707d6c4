package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/serve/port"
)

// connectionKey is the context key of a connection's caller.
type connectionKey struct{}

// callerConnection is what is known of the connection of a caller. Its requests come one after the other.
type callerConnection struct {
	// roundTrip is the time to the caller and back, 0 when it is not known.
	roundTrip time.Duration
	// hadRequest says whether the connection has had a request.
	hadRequest bool
}

// onConnect takes a new connection.
func onConnect(ctx context.Context, conn network.Conn) context.Context {
	roundTrip, _ := port.RoundTrip(conn)
	return context.WithValue(ctx, connectionKey{}, &callerConnection{roundTrip: roundTrip})
}

// setConnectionInfo tells the request how far away its caller is.
func setConnectionInfo(ctx context.Context, q *dispatch.Request) {
	c, ok := ctx.Value(connectionKey{}).(*callerConnection)
	if !ok {
		return
	}
	q.RoundTrip = c.roundTrip
	q.NewConnection = !c.hadRequest
	c.hadRequest = true
}
