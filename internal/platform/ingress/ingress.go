// Package ingress serves callers in the platform's form: it decodes a request, has it answered and encodes the answer.
// It decides nothing about the request.
package ingress

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
)

const (
	// maxBody is the largest request body that is read, in bytes. The published limit is checked once the body is read.
	maxBody = 16 << 20
	// maxHeader is the largest request header that is read, in bytes; callers keep to the published limit.
	maxHeader = 256 << 10
	// readTime bounds the wait for the next byte of a request that has begun.
	readTime = 15 * time.Second
	// writeTime bounds the wait for a caller that does not read its answer.
	writeTime = 10 * time.Second
	// idleTime is how long a connection may wait for its next request. It is longer than callers use an idle
	// connection, since closing one as a request arrives costs the caller a retry.
	idleTime = 3 * time.Minute
)

// Server is the port for callers.
type Server struct {
	Now    func() time.Time
	Answer func(ctx context.Context, q *dispatch.Request) dispatch.Answer

	listen   unit.Address
	listener net.Listener
	server   *server.Hertz
	tracker  *keepalive.Tracker
	done     chan struct{}
}

// Install registers the port with the kernel; it finds the dispatcher there when it starts.
func Install(k *kernel.Kernel, listen unit.Address, now func() time.Time) (*Server, error) {
	s := &Server{Now: now, listen: listen, tracker: keepalive.New(), done: make(chan struct{})}
	return s, k.Register(kernel.Service{
		Name:  kernel.ServiceCaller,
		Value: s,
		Start: func(ctx context.Context) error {
			d, err := kernel.Find[*dispatch.Dispatcher](k, kernel.ServiceDispatch)
			if err != nil {
				return err
			}
			s.Answer = d.Serve
			return s.start(ctx)
		},
		Close: s.close,
	})
}

// Address gives the address that the port listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// BeginDrain has each further answer ask its caller to close the connection; requests are served on.
func (s *Server) BeginDrain() {
	s.tracker.BeginDrain()
}

func (s *Server) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(s.listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = listener
	options := append(s.tracker.Options(),
		server.WithListener(listener),
		server.WithOnConnect(connect),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeader),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithReadTimeout(readTime),
		server.WithWriteTimeout(writeTime),
		server.WithIdleTimeout(idleTime),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.server = server.New(options...)
	s.server.Any("/*path", s.handle)
	s.server.NoRoute(s.handle)
	go func() {
		defer close(s.done)
		_ = s.server.Run()
	}()
	return port.Await(ctx, listener.Addr())
}

// close stops accepting connections, closes those without a request and waits for the others.
func (s *Server) close() error {
	s.tracker.BeginDrain()
	s.tracker.CloseIdle()
	err := s.server.Shutdown(context.Background())
	<-s.done
	return errors.Wrap(err, "close the port for callers")
}

func (s *Server) handle(ctx context.Context, rc *app.RequestContext) {
	defer s.tracker.EndConnection(rc)
	if fault := framingFault(rc.Request.Header.RawHeaders()); fault != "" {
		rc.SetConnectionClose()
		write(rc, dispatch.Answer{Code: unit.CodeBadRequest})
		return
	}
	q := decode(rc, s.Now())
	locate(ctx, q)
	if q.ID == "" {
		write(rc, dispatch.Answer{Code: unit.CodeBadRequest})
		return
	}
	if !s.tracker.Answerable(rc) {
		write(rc, dispatch.Answer{Code: unit.CodeStopping})
		return
	}
	write(rc, s.Answer(ctx, q))
}
