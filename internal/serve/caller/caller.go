// Package caller serves callers over HTTP: it decodes a query, runs it with the query service and encodes the answer.
// docs/PROTOCOLS.md describes the messages and docs/RESULTS.md the result codes.
package caller

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/listen"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 256 << 10
	// readTimeout bounds the reading of one request, so that a half-open connection does not hold resources for long.
	readTimeout = 10 * time.Second
	// exitWait bounds the wait of a shutdown for requests in flight. A request whose first byte came just before may take
	// all its time to arrive, and then all its timeout.
	exitWait = readTimeout + query.MaxTimeout + answerTime
	// answerTime is for writing the last responses.
	answerTime = 5 * time.Second
	// writeTimeout bounds the wait for a caller that does not read its response.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long a connection may be idle before its next request.
	idleTimeout = 90 * time.Second
	// maxConnections is the maximum number of open connections of all callers together.
	maxConnections = 8192
	// tooLargeMessage is the message for a body of more than maxBodyBytes.
	tooLargeMessage = "body: has more than 1048576 bytes"
)

// Server is the HTTP server for callers. Tests replace its function fields; Install sets Answer to the query service.
type Server struct {
	Now    func() time.Time
	Answer func(ctx context.Context, q fanout.Query) fanout.Answer

	guard   *guard
	metrics *metric.Set
	listen  unit.Address
	server  *listen.Server
}

// Install registers the server with the kernel. The server looks up the query service when it starts.
func Install(k *kernel.Kernel, address unit.Address, now func() time.Time) error {
	s := &Server{Now: now, listen: address}
	s.guard = &guard{limit: maxConnections, readTimeout: readTimeout}
	return k.Register(kernel.Service{
		Name:  kernel.ServiceCaller,
		Value: s,
		Start: func(ctx context.Context) error {
			f := kernel.NewFinder(k)
			runner := kernel.Lookup[*query.Runner](f, kernel.ServiceQuery)
			s.metrics = kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
			if err := f.Err(); err != nil {
				return err
			}
			s.Answer = runner.Run
			return s.start(ctx)
		},
		Close: func() error { return s.server.Close() },
	})
}

// Address returns the address at which the server listens. It may be called only after the start.
func (s *Server) Address() unit.Address {
	return s.server.Address()
}

// BeginDrain makes each further response close its connection. Queries are still served.
func (s *Server) BeginDrain() {
	s.server.Tracker.BeginDrain()
}

// start starts the server with the limits and timeouts above.
func (s *Server) start(ctx context.Context) (err error) {
	s.guard.metrics = s.metrics
	options := append(s.guard.options(),
		// The handler reads the body itself, since hertz responds to an oversized body without a result code.
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.server, err = listen.Start(ctx, s.listen, listen.Bounds{}, options, func(h *server.Hertz, tracker *keepalive.Tracker) {
		h.POST("/query", func(ctx context.Context, rc *app.RequestContext) {
			defer tracker.CloseIfDraining(rc)
			s.handle(ctx, rc)
		})
		h.NoRoute(s.noRoute)
	})
	return err
}

// handle serves POST /query.
func (s *Server) handle(ctx context.Context, rc *app.RequestContext) {
	body, code, message := s.read(ctx, rc)
	if code != 0 {
		rc.SetConnectionClose()
		s.refuse(rc, "", code, message)
		return
	}
	q, code, message := decode(body, s.Now())
	if code != 0 {
		s.refuse(rc, q.ID, code, message)
		return
	}
	writeAnswer(rc, s.Answer(ctx, q))
}

// read reads the request body and stops the read timer of its connection. code is 0 if the body has been received
// completely; else code and message are those to refuse the request with.
func (s *Server) read(ctx context.Context, rc *app.RequestContext) (body []byte, code unit.Code, message string) {
	defer s.guard.stopReadTimer(ctx)
	if rc.Request.Header.ContentLength() > maxBodyBytes {
		return nil, unit.CodeTooLarge, tooLargeMessage
	}
	body, err := io.ReadAll(io.LimitReader(rc.RequestBodyStream(), maxBodyBytes+1))
	if err != nil {
		return nil, unit.CodeBadRequest, "body: has not come whole"
	}
	if len(body) > maxBodyBytes {
		return nil, unit.CodeTooLarge, tooLargeMessage
	}
	return body, 0, ""
}

// refuse responds to a request that is not run with a result code, and counts the code.
func (s *Server) refuse(rc *app.RequestContext, id unit.RequestID, code unit.Code, message string) {
	s.metrics.Add("code."+strconv.Itoa(int(code)), 1)
	writeAnswer(rc, fanout.Refusal(id, code, message))
}

// noRoute responds to a request with a path or method other than POST /query with CodeBadRequest, and closes its
// connection.
func (s *Server) noRoute(_ context.Context, rc *app.RequestContext) {
	rc.SetConnectionClose()
	s.refuse(rc, "", unit.CodeBadRequest, "path: the only call here is POST /query")
}
