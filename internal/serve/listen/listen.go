// Package listen starts a hertz server on an address and stops it gracefully.
package listen

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
)

// Server is a running hertz server.
type Server struct {
	// Tracker tracks the server's persistent connections.
	Tracker *keepalive.Tracker

	listener *port.Listener
	server   *server.Hertz
	// exitWait bounds the wait of Close.
	exitWait time.Duration
	// done is closed when the server accepts no more connections.
	done chan struct{}
}

// Start starts a server at that address and returns when it responds to requests. routes adds the server's handlers.
// The server is returned also with an error if it does not respond.
func Start(
	ctx context.Context, address unit.Address, account *memory.Account, options []config.Option,
	routes func(*server.Hertz, *keepalive.Tracker),
) (*Server, error) {
	parsed := config.NewOptions(options)
	listener, err := port.Listen(address, port.Bounds{
		Idle: parsed.IdleTimeout, Read: parsed.ReadTimeout, Write: parsed.WriteTimeout,
		// The encoding of chunks may double the size of a body.
		Unanswered: 2 * unit.Bytes(parsed.MaxRequestBodySize+parsed.MaxHeaderBytes),
		Memory:     account,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{
		Tracker: keepalive.New(), listener: listener, exitWait: parsed.ExitWaitTimeout, done: make(chan struct{}),
	}
	all := append(s.Tracker.Options(), server.WithListener(listener), server.WithDisablePrintRoute(true),
		// Hertz's default transport has a poller of its own, whose blocking system call delays the timers of a process
		// with one thread for Go code.
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(port.Context))
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
// wait time in the options of Start. It is set with server.WithExitWaitTime; for the port for operators
// hertz's default of 5 seconds applies. When it has passed, Close returns nil although requests are still in flight.
//
// It does without hertz's Shutdown, which waits for at most 30 seconds with this transport.
func (s *Server) Close() error {
	return s.CloseWithin(s.exitWait)
}

// CloseWithin is Close with an exit wait time of its own.
func (s *Server) CloseWithin(exitWait time.Duration) error {
	s.Tracker.BeginDrain()
	s.Tracker.CloseIdle()
	err := s.listener.Close()
	<-s.done
	s.listener.AwaitConns(exitWait)
	return errors.Wrapf(err, "close the port at %s", s.Address())
}
