// Package control is the HTTP control port through which a test controls the stand-ins of another process.
package control

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
	"basilspan/internal/standin/endpoint"
)

// Targets are the functions that the control port calls. A process without endpoints leaves SetFaults and Stats nil;
// one without a platform leaves SetDown, SetFrozen and SetVM nil. Requests for them get status 400.
type Targets struct {
	SetFaults func(id unit.EndpointID, faults endpoint.Faults)
	Stats     func(id unit.EndpointID) endpoint.Stats
	SetDown   func(down bool)
	SetFrozen func(frozen bool)
	SetVM     func(id unit.NodeID, state member.State)
}

// Server is the server of the control port.
type Server struct {
	targets Targets
	server  *http.Server
	done    chan struct{}
}

// New returns a server that doesn't listen yet.
func New(targets Targets) *Server {
	return &Server{targets: targets, done: make(chan struct{})}
}

// Start listens at the address and serves in the background until Close.
func (s *Server) Start(listen unit.Address) error {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return errors.Wrap(err, "listen for control requests")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.HandleFunc("POST /platform", s.handlePlatform)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Close stops the server without waiting for its requests; it does nothing if the server was not started.
func (s *Server) Close() error {
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	<-s.done
	return err
}

// handleFaults sets the faults of the endpoint in the query; the body holds the faults as JSON.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults endpoint.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil || s.targets.SetFaults == nil {
		http.Error(w, "this process has no endpoints, or the faults are not valid JSON", http.StatusBadRequest)
		return
	}
	s.targets.SetFaults(unit.EndpointID(r.URL.Query().Get("endpoint")), faults)
}

// handleStats serves the counters of the endpoint in the query as JSON.
func (s *Server) handleStats(w http.ResponseWriter, r *http.Request) {
	if s.targets.Stats == nil {
		http.Error(w, "this process has no endpoints", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(s.targets.Stats(unit.EndpointID(r.URL.Query().Get("endpoint"))))
}

// handlePlatform changes the platform as the query says: down=true or false, frozen=true or false, or vm=NAME with
// state=STATE.
func (s *Server) handlePlatform(w http.ResponseWriter, r *http.Request) {
	if s.targets.SetDown == nil {
		http.Error(w, "this process has no platform", http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	if q.Has("down") {
		s.targets.SetDown(q.Get("down") == "true")
	}
	if q.Has("frozen") {
		s.targets.SetFrozen(q.Get("frozen") == "true")
	}
	if q.Has("vm") {
		s.targets.SetVM(unit.NodeID(q.Get("vm")), member.State(q.Get("state")))
	}
}
