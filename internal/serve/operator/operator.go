// Package operator serves operators and the load balancer over HTTP: readiness, metrics, status, configuration, planned
// stops, traces and profiles.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/config"

	"basilspan/internal/config/process"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/policy/intake"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/lifecycle"
	"basilspan/internal/serve/listen"
	traceport "basilspan/internal/serve/trace"
)

// Server is the HTTP server for operators. Tests replace its function fields.
type Server struct {
	Now func() time.Time
	// State returns the entry VM's lifecycle state.
	State func() string
	// Drain begins a planned stop.
	Drain func()
	// Ejected reports whether this entry VM demotes an endpoint, that is, calls it last, after failed calls. If it is
	// nil, the method of the query service is used.
	Ejected func(now time.Time, search unit.SearchName, id unit.EndpointID) bool

	// Memory bounds what requests and the responses to them take; nil means no bound.
	Memory *memory.Account
	// OnRefuse is called for each request that is refused, and each connection that is closed, because of the bounds.
	OnRefuse func(intake.Reason)

	pprof   bool
	node    unit.NodeID
	listen  unit.Address
	server  *listen.Server
	views   *view.Store
	metrics *metric.Set
	traces  *traceport.Handler
}

const (
	// maxConnections bounds the open connections. If more come, unfinished requests and idle connections give way.
	maxConnections = 256
	// maxHeaderBytes and maxBodyBytes bound a request. No call of operators has a body.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 16 << 10
)

// StateReady is the lifecycle state in which the load balancer may send callers.
const StateReady = string(lifecycle.StateReady)

// New returns a server for operators; Install registers it.
func New(node unit.NodeID, listen unit.Address, now func() time.Time, state func() string, drain func()) *Server {
	return &Server{
		Now: now, State: state, Drain: drain, node: node, listen: listen,
	}
}

// Install registers the server with the kernel. The server looks up the services that it uses when it starts.
func (s *Server) Install(k *kernel.Kernel) error {
	return k.Register(kernel.Service{
		Name:  kernel.ServiceOperator,
		Value: s,
		Start: func(ctx context.Context) error {
			f := kernel.NewFinder(k)
			s.views = kernel.Lookup[*view.Store](f, kernel.ServiceViews)
			s.metrics = kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
			settings := kernel.Lookup[process.Settings](f, kernel.ServiceSettings)
			runner := kernel.Lookup[*query.Runner](f, kernel.ServiceQuery)
			recorder := kernel.Lookup[*trace.Recorder](f, kernel.ServiceTrace)
			if err := f.Err(); err != nil {
				return err
			}
			s.pprof = settings.Pprof
			if s.Ejected == nil {
				s.Ejected = runner.Ejected
			}
			s.traces = traceport.New(recorder)
			return s.start(ctx)
		},
		Close: s.close,
	})
}

// Address returns the address at which the server listens. It may be called only after the start.
func (s *Server) Address() unit.Address {
	return s.server.Address()
}

// start starts the server and returns when it responds to requests.
func (s *Server) start(ctx context.Context) (err error) {
	options := []config.Option{server.WithMaxHeaderBytes(maxHeaderBytes), server.WithMaxRequestBodySize(maxBodyBytes)}
	bounds := listen.Bounds{
		Memory: s.Memory, Output: true, Expendable: true, Connections: maxConnections, OnRefuse: s.OnRefuse,
	}
	s.server, err = listen.Start(ctx, s.listen, bounds, options, s.routes)
	return err
}

// routes adds the handlers. Profiles are served only if the settings enable them.
func (s *Server) routes(h *server.Hertz, tracker *keepalive.Tracker) {
	h.Use(func(ctx context.Context, rc *app.RequestContext) {
		rc.Next(ctx)
		tracker.CloseIfDraining(rc)
	})
	h.GET("/ready", s.handleReady)
	h.GET("/status", s.handleStatus)
	h.GET("/debug/vars", s.handleVars)
	h.POST("/drain", s.handleDrain)
	h.GET("/config", s.handleConfig)
	if s.pprof {
		h.GET("/debug/pprof/*profile", adaptor.HertzHandler(http.HandlerFunc(profile)))
	}
	h.GET(traceport.Path, s.traces.Handle)
}

// close ends the trace that is being streamed, which would keep its connection open, and then stops the server.
func (s *Server) close() error {
	s.server.Tracker.BeginDrain()
	s.traces.Close()
	return s.server.Close()
}

// handleReady serves GET /ready, the load balancer's readiness probe.
func (s *Server) handleReady(_ context.Context, rc *app.RequestContext) {
	state := s.State()
	if state != StateReady {
		rc.String(http.StatusServiceUnavailable, state)
		return
	}
	rc.String(http.StatusOK, state)
}

// handleVars serves GET /debug/vars, the metrics.
func (s *Server) handleVars(_ context.Context, rc *app.RequestContext) {
	rc.Data(http.StatusOK, "application/json", []byte(s.metrics.String()))
}

// handleDrain serves POST /drain, which begins a planned stop.
func (s *Server) handleDrain(_ context.Context, rc *app.RequestContext) {
	s.Drain()
	rc.Status(http.StatusAccepted)
}
