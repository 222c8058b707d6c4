// Package operator serves the operators and the balancer over HTTP: readiness, metrics and status.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"basilspan/internal/config/process"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/life"
	"basilspan/internal/serve/listen"
	traceport "basilspan/internal/serve/trace"
)

// Server is the port for operators. The function fields are its seams.
type Server struct {
	Now func() time.Time
	// State gives the entry VM's lifecycle state, and Drain begins a planned stop.
	State func() string
	Drain func()
	// Ejected says whether this entry VM asks an endpoint last after failures; Install
	// takes the query service's when it is nil.
	Ejected func(now time.Time, search unit.SearchName, id unit.EndpointID) bool

	pprof   bool
	node    unit.NodeID
	listen  unit.Address
	server  *listen.Server
	views   *view.Store
	metrics *metric.Set
	traces  *traceport.Handler
}

// StateReady is the lifecycle state in which the balancer may send callers.
const StateReady = string(life.StateReady)

// New makes the port.
func New(node unit.NodeID, listen unit.Address, now func() time.Time, state func() string, drain func()) *Server {
	return &Server{
		Now: now, State: state, Drain: drain, node: node, listen: listen,
	}
}

// Install registers the port with the kernel; it finds the views and metrics there when it starts.
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

// Address gives the address that the port listens at.
func (s *Server) Address() unit.Address {
	return s.server.Address()
}

func (s *Server) start(ctx context.Context) (err error) {
	s.server, err = listen.Start(ctx, s.listen, nil, s.routes)
	return err
}

func (s *Server) routes(h *server.Hertz, tracker *keepalive.Tracker) {
	h.Use(func(ctx context.Context, rc *app.RequestContext) {
		rc.Next(ctx)
		tracker.CloseIfDraining(rc)
	})
	h.GET("/ready", s.ready)
	h.GET("/status", s.status)
	h.GET("/debug/vars", s.vars)
	h.POST("/drain", s.drain)
	h.GET("/config", s.config)
	if s.pprof {
		h.GET("/debug/pprof/*profile", adaptor.HertzHandler(http.HandlerFunc(profile)))
	}
	h.GET(traceport.Path, s.traces.Handle)
}

// close ends the traces that are streamed, which would keep their connections, and then the server.
func (s *Server) close() error {
	s.server.Tracker.BeginDrain()
	s.traces.Close()
	return s.server.Close()
}

func (s *Server) ready(_ context.Context, rc *app.RequestContext) {
	state := s.State()
	if state != StateReady {
		rc.String(http.StatusServiceUnavailable, state)
		return
	}
	rc.String(http.StatusOK, state)
}

func (s *Server) vars(_ context.Context, rc *app.RequestContext) {
	rc.Data(http.StatusOK, "application/json", []byte(s.metrics.String()))
}

func (s *Server) drain(_ context.Context, rc *app.RequestContext) {
	s.Drain()
	rc.Status(http.StatusAccepted)
}
