package port

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cockroachdb/errors"
)

// transport is hertz's transport over a Listener. Hertz's own transports keep the buffers of a connection for as long as
// it is open. This one hands each request to hertz separately, so that a connection between two requests holds nothing of
// the last one.
type transport struct {
	listener  *Listener
	onConnect func(ctx context.Context, conn network.Conn) context.Context
}

// NewTransporter returns the transport for a server whose listener is a Listener, for server.WithTransport. It waits for
// requests itself, so that hertz must have no idle timeout.
func NewTransporter(options *config.Options) network.Transporter {
	return &transport{listener: options.Listener.(*Listener), onConnect: options.OnConnect}
}

// ListenAndServe serves connections until the listener is closed. It does not wait for them.
func (t *transport) ListenAndServe(onData network.OnData) error {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go t.serve(conn.(*Conn), onData)
	}
}

// Close stops accepting connections.
func (t *transport) Close() error {
	return t.listener.Close()
}

// Shutdown is Close. Listener.AwaitConns waits for the connections.
func (t *transport) Shutdown(context.Context) error {
	return t.Close()
}

// serve serves the requests of a connection one by one.
func (t *transport) serve(c *Conn, onData network.OnData) {
	defer func() { _ = c.Close() }()
	x := &exchange{Conn: c}
	ctx := Context(c)
	if t.onConnect != nil {
		ctx = t.onConnect(ctx, x)
	}
	for {
		if err := onData(ctx, x); err != nil || x.failed {
			return
		}
		if !x.end() {
			return
		}
		if x.Len() == 0 && !c.awaitRequest() {
			return
		}
	}
}
