// Package listen starts a hertz server on an address and stops it gracefully.
package listen

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
)

// Server is a running hertz server.
type Server struct {
	// Tracker tracks the server's persistent connections.
	Tracker *keepalive.Tracker

	listener net.Listener
	server   *server.Hertz
	// done is closed when the server has stopped.
	done chan struct{}
}

// Start starts a server at that address and returns when it responds to requests. routes adds the server's handlers.
// The server is returned also with an error if it does not respond.
func Start(
	ctx context.Context, address unit.Address, options []config.Option, routes func(*server.Hertz, *keepalive.Tracker),
) (*Server, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	s := &Server{Tracker: keepalive.New(), listener: listener, done: make(chan struct{})}
	all := append(s.Tracker.Options(), server.WithListener(listener), server.WithDisablePrintRoute(true))
	s.server = server.New(append(all, options...)...)
	routes(s.server, s.Tracker)
	go func() {
		defer close(s.done)
		_ = s.server.Run()
	}()
	return s, port.AwaitServing(ctx, listener.Addr())
}

// Address returns the address at which the server listens.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// Close stops accepting connections, closes idle connections and waits for the requests in flight, at most for the exit
// wait time in the options of Start. The servers for callers set it with server.WithExitWaitTime; for the others
// hertz's default of 5 seconds applies. When it has passed, Close returns nil although requests are still in flight.
func (s *Server) Close() error {
	s.Tracker.BeginDrain()
	s.Tracker.CloseIdle()
	err := s.server.Shutdown(context.Background())
	<-s.done
	return errors.Wrapf(err, "close the port at %s", s.Address())
}
