// Package control is the port by which a test steers the stand-ins of another process.
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

// Targets are what the port steers; a nil function is passed over.
type Targets struct {
	SetFaults func(id unit.EndpointID, faults endpoint.Faults)
	Stats     func(id unit.EndpointID) endpoint.Stats
	SetDown   func(down bool)
	SetFrozen func(frozen bool)
	SetVM     func(id unit.NodeID, state member.State)
}

// Server is the port.
type Server struct {
	targets Targets
	server  *http.Server
	done    chan struct{}
}

// New makes a port; nothing listens before Start.
func New(targets Targets) *Server {
	return &Server{targets: targets, done: make(chan struct{})}
}

// Start listens at that address.
func (s *Server) Start(listen unit.Address) error {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return errors.Wrap(err, "listen for control")
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

// Close ends the port.
func (s *Server) Close() error {
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	<-s.done
	return err
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults endpoint.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil || s.targets.SetFaults == nil {
		http.Error(w, "no faults here", http.StatusBadRequest)
		return
	}
	s.targets.SetFaults(unit.EndpointID(r.URL.Query().Get("endpoint")), faults)
}

func (s *Server) handleStats(w http.ResponseWriter, r *http.Request) {
	if s.targets.Stats == nil {
		http.Error(w, "no counts here", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(s.targets.Stats(unit.EndpointID(r.URL.Query().Get("endpoint"))))
}

// handlePlatform takes down=true, frozen=true, or vm=NAME with state=STATE.
func (s *Server) handlePlatform(w http.ResponseWriter, r *http.Request) {
	if s.targets.SetDown == nil {
		http.Error(w, "no platform here", http.StatusBadRequest)
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
