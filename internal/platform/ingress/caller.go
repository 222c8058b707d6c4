package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/network"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/serve/port"
)

// callerKey is the context key of a connection's caller.
type callerKey struct{}

// caller is what is known of the connection of a caller. Its requests come one after the other.
type caller struct {
	// trip is the time to the caller and back, 0 when it is not known.
	trip time.Duration
	// served says whether the connection has had a request.
	served bool
}

// connect takes a new connection.
func connect(ctx context.Context, conn network.Conn) context.Context {
	trip, _ := port.RoundTrip(conn)
	return context.WithValue(ctx, callerKey{}, &caller{trip: trip})
}

// locate tells the request how far away its caller is.
func locate(ctx context.Context, q *dispatch.Request) {
	c, ok := ctx.Value(callerKey{}).(*caller)
	if !ok {
		return
	}
	q.RoundTrip = c.trip
	q.NewConnection = !c.served
	c.served = true
}
