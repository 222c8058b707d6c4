// Package ingress serves callers in the platform's format: it decodes requests, passes them to the dispatcher and
// encodes the responses. It makes no decisions about requests.
package ingress

import (
	"context"
	"log/slog"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/shutdown"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/listen"
)

const (
	// DefaultBody is the size of the largest request body that is read. The dispatcher checks the published limit.
	DefaultBody unit.Bytes = 16 << 20
	// DefaultHead is the size of the largest request header that is read. The published limit is lower.
	DefaultHead unit.Bytes = 256 << 10
	// readTimeout bounds the wait for the next byte of a request that has started.
	readTimeout = 15 * time.Second
	// writeTimeout bounds the wait for a caller that does not read its response.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection may wait for its next request. It exceeds the time for which callers
	// reuse an idle connection, since closing one while a request arrives costs the caller a retry.
	idleTimeout = 3 * time.Minute
)

// Options holds the dependencies and bounds of a server.
type Options struct {
	Now func() time.Time
	Log *slog.Logger
	// Head and Body are the sizes of the largest header and body that are read; 0 means DefaultHead and DefaultBody.
	Head unit.Bytes
	Body unit.Bytes
	// Bounds bound what callers take together.
	Bounds listen.Bounds
}

// Server is the HTTP server for callers.
type Server struct {
	Options
	// Answer returns the response to a request.
	Answer func(ctx context.Context, q *dispatch.Request) dispatch.Answer
	// Refuse returns the response to a request that is not served for the reason given by the code.
	Refuse func(q *dispatch.Request, code unit.Code) dispatch.Answer
	// OpenRequests returns the number of requests that have no answer yet.
	OpenRequests func() int

	listen unit.Address
	server *listen.Server
	// schedule is that of the planned stop. BeginDrain sets it.
	schedule shutdown.Schedule
}

// Install registers the server with the kernel. It looks up the dispatcher when it starts.
func Install(k *kernel.Kernel, address unit.Address, options Options) (*Server, error) {
	s := &Server{Options: options, listen: address}
	return s, k.Register(kernel.Service{
		Name:  kernel.ServiceCaller,
		Value: s,
		Start: func(ctx context.Context) error {
			d, err := kernel.Find[*dispatch.Dispatcher](k, kernel.ServiceDispatch)
			if err != nil {
				return err
			}
			s.Answer, s.Refuse, s.OpenRequests = d.Serve, d.Refuse, d.OpenRequests
			return s.start(ctx)
		},
		Close: s.close,
	})
}

// Address returns the address that the server listens on. It may be called only after the start.
func (s *Server) Address() unit.Address {
	return s.server.Address()
}

// BeginDrain makes each further response close its connection. Requests are still served. The server closes by the
// schedule. It must return before the server closes.
func (s *Server) BeginDrain(schedule shutdown.Schedule) {
	s.schedule = schedule
	s.server.Tracker.BeginDrain()
}

// close stops accepting connections, and waits for the requests in flight until the schedule's CloseBy.
func (s *Server) close() error {
	began := s.Now()
	s.Log.Info("closing the port for callers", "open", s.OpenRequests())
	err := s.server.CloseWithin(max(0, s.schedule.CloseBy.Sub(began)))
	s.Log.Info("port for callers closed", "open", s.OpenRequests(), "took_ms", s.Now().Sub(began).Milliseconds())
	return err
}

// start starts listening.
func (s *Server) start(ctx context.Context) (err error) {
	options := []config.Option{
		server.WithOnConnect(onConnect),
		server.WithMaxRequestBodySize(int(orDefault(s.Body, DefaultBody))),
		server.WithMaxHeaderBytes(int(orDefault(s.Head, DefaultHead))),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
	s.server, err = listen.Start(ctx, s.listen, s.Bounds, options, func(h *server.Hertz, tracker *keepalive.Tracker) {
		handle := func(ctx context.Context, rc *app.RequestContext) { s.handle(ctx, rc, tracker) }
		h.Any("/*path", handle)
		h.NoRoute(handle)
	})
	return err
}

// orDefault returns n, or the default if n is 0.
func orDefault(n, def unit.Bytes) unit.Bytes {
	if n == 0 {
		return def
	}
	return n
}

// handle serves one request. It rejects a request with ambiguous framing and closes the connection after it.
func (s *Server) handle(ctx context.Context, rc *app.RequestContext, tracker *keepalive.Tracker) {
	defer tracker.CloseIfDraining(rc)
	q := decodeRequest(rc, s.Now())
	if fault := framingFault(rc.Request.Header.RawHeaders()); fault != "" {
		rc.SetConnectionClose()
		writeAnswer(rc, s.Refuse(q, unit.CodeBadRequest))
		return
	}
	setConnectionInfo(ctx, q)
	switch {
	case q.ID == "":
		// Without an ID, a log entry could not be related to a request, so Refuse is not called. This VM's own check that
		// the port responds is such a request.
		writeAnswer(rc, dispatch.Answer{Code: unit.CodeBadRequest})
	case !tracker.Answerable(rc):
		writeAnswer(rc, s.Refuse(q, unit.CodeStopping))
	default:
		answer := s.Answer(ctx, q)
		tracker.ReleaseAfter(rc, answer.Release)
		writeAnswer(rc, answer)
	}
}
