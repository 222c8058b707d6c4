// Package platform simulates the platform's service for tests and demos: it serves the files of a folder as the
// configuration, with a new revision at each change, and the list of VMs.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

type (
	wireConfig struct {
		Revision uint64     `json:"revision"`
		Files    []wireFile `json:"files"`
	}

	wireFile struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}

	wireVM struct {
		ID     string `json:"id"`
		Centre string `json:"centre"`
		Peer   string `json:"peer"`
		State  string `json:"state"`
	}
)

// Server is the simulated platform.
type Server struct {
	mu     sync.Mutex
	config wireConfig
	vms    []wireVM
	// changed is closed and replaced when the configuration or down changes.
	changed  chan struct{}
	down     bool
	frozen   bool
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// New returns a platform without configuration and VMs that doesn't listen yet.
func New() *Server {
	return &Server{changed: make(chan struct{}), done: make(chan struct{})}
}

// Start listens at the address and serves in the background until Close.
func (s *Server) Start(listen unit.Address) error {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return errors.Wrap(err, "listen as the platform")
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", s.handleConfig)
	mux.HandleFunc("GET /vms", s.handleVMs)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Address returns the address that the platform listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// Publish makes the files the next revision of the configuration and reports whether it did; a frozen platform ignores
// them.
func (s *Server) Publish(files []folder.File) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		return false
	}
	next := wireConfig{Revision: s.config.Revision + 1}
	for _, f := range files {
		next.Files = append(next.Files, wireFile{Name: f.Name, Content: string(f.Content)})
	}
	s.config = next
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// SetVMs replaces the list of VMs.
func (s *Server) SetVMs(members []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = nil
	for _, m := range members {
		vm := wireVM{ID: string(m.ID), Centre: string(m.Centre), Peer: string(m.Peer), State: string(m.State)}
		s.vms = append(s.vms, vm)
	}
}

// SetState changes the state of one VM of the list; an unknown id is ignored.
func (s *Server) SetState(id unit.NodeID, state member.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if s.vms[i].ID == string(id) {
			s.vms[i].State = string(state)
		}
	}
}

// SetFrozen freezes the configuration, which simulates a stale platform: Publish is ignored until SetFrozen(false).
func (s *Server) SetFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
}

// SetDown makes every request fail with status 503, also those that wait, until SetDown(false).
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close stops the platform without waiting for its requests.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// handleConfig serves a long poll: it responds as soon as the revision differs from "after", or after "wait"
// milliseconds with the current configuration.
func (s *Server) handleConfig(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		config, changed, down := s.config, s.changed, s.down
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if config.Revision != after || ctx.Err() != nil {
			writeJSON(w, config)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// handleVMs serves the list of VMs.
func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	vms, down := s.vms, s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, vms)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
