// Package listen runs a hertz server from its start, when it answers, to its end, when all that was in flight is done.
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

// Server is a hertz server that listens.
type Server struct {
	// Tracker knows the server's kept connections.
	Tracker *keepalive.Tracker

	listener net.Listener
	server   *server.Hertz
	done     chan struct{}
}

// Start has a server listen at that address, with the routes that routes adds, and waits until it answers.
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

// Address gives the address that the server listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// Close stops accepting connections, closes those without a request and waits for the others.
func (s *Server) Close() error {
	s.Tracker.BeginDrain()
	s.Tracker.CloseIdle()
	err := s.server.Shutdown(context.Background())
	<-s.done
	return errors.Wrapf(err, "close the port at %s", s.Address())
}
