// Package listen starts a hertz server on an address and stops it gracefully.
package listen

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
)

// wholeFactor is how many times the read timeout, which bounds the wait for each further byte, a whole request may take.
const wholeFactor = 4

// Bounds bound what the callers of a server take. Zero means no bound, except for Lines. The bounds on the sizes of a
// request are hertz's options.
type Bounds struct {
	// Memory bounds what the requests of all connections take.
	Memory *memory.Account
	// Answers is the account that has the responses. While it is short, callers have to read on sooner; nil means never.
	Answers *memory.Account
	// Output charges Memory also for responses that wait to be read, and Expendable lets their connections give way.
	Output, Expendable bool
	// Lines bounds the lines of a request's header; 0 means DefaultLines.
	Lines int
	// Connections bounds the number of open connections.
	Connections int
	// Whole bounds the time from the first to the last byte of a request; 0 means four times the read timeout.
	Whole time.Duration
	// OnRefuse is called for each request that is refused, and each connection that is closed, because of these bounds. It
	// may be nil.
	OnRefuse func(intake.Reason)
}

// DefaultLines is the bound on the lines of a header. A header of 16 KB can't have more.
const DefaultLines = 4096

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
	ctx context.Context, address unit.Address, bounds Bounds, options []config.Option,
	routes func(*server.Hertz, *keepalive.Tracker),
) (*Server, error) {
	parsed := config.NewOptions(options)
	if bounds.Lines == 0 {
		bounds.Lines = DefaultLines
	}
	if bounds.Whole == 0 {
		bounds.Whole = wholeFactor * parsed.ReadTimeout
	}
	listener, err := port.Listen(address, port.Bounds{
		Idle: parsed.IdleTimeout, Read: parsed.ReadTimeout, Write: parsed.WriteTimeout,
		// The encoding of chunks may double the size of a body.
		Unanswered: 2 * unit.Bytes(parsed.MaxRequestBodySize+parsed.MaxHeaderBytes),
		Memory:     bounds.Memory,
		Answers:    bounds.Answers,
		Output:     bounds.Output,
		Expendable: bounds.Expendable,
		Intake: &intake.Limits{
			Head: unit.Bytes(parsed.MaxHeaderBytes), Lines: bounds.Lines, Body: unit.Bytes(parsed.MaxRequestBodySize),
			// A handler of streams refuses a large body when it has read the first byte beyond the bound.
			Stream: parsed.StreamRequestBody,
		},
		Whole:       bounds.Whole,
		Connections: bounds.Connections,
		OnRefuse:    bounds.OnRefuse,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{
		Tracker: keepalive.New(), listener: listener, exitWait: parsed.ExitWaitTimeout, done: make(chan struct{}),
	}
	all := append(s.Tracker.Options(), server.WithTracer(contextFilter{}), server.WithListener(listener),
		server.WithDisablePrintRoute(true),
		// Hertz's default transport has a poller of its own, whose blocking system call delays the timers of a process
		// with one thread for Go code. Both of its transports keep the buffers of idle connections.
		server.WithTransport(port.NewTransporter))
	all = append(all, options...)
	// The transport waits for the next request itself.
	s.server = server.New(append(all, server.WithIdleTimeout(0))...)
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
