// Package endpoint simulates endpoints for tests and demos. An endpoint has a number of slots with a FIFO queue, a
// connection limit, a connect time and a service time, and can be told to misbehave (see Faults). Many endpoints run in
// one process.
//
// It uses the standard library's HTTP server, because each endpoint needs its own listener that limits connections.
package endpoint

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
)

// Headers of a call and of its reply.
const (
	headerRequest   = "X-Request"
	headerShard     = "X-Shard"
	headerSnapshot  = "X-Snapshot"
	headerRemaining = "X-Remaining-Ms"
	headerOnce      = "X-Once"
)

// Settings describe one endpoint.
type Settings struct {
	ID          unit.EndpointID
	Shard       unit.ShardID
	Listen      unit.Address
	Slots       unit.Slots
	Connections unit.Connections
	// QueueLimit is the maximum number of calls that wait for a slot; further calls are refused.
	QueueLimit int
	// ConnectTime delays the first read of a new connection.
	ConnectTime time.Duration
	// ServiceTime returns how long the next call runs.
	ServiceTime func() time.Duration
	// RecordRun records that a request ran at a shard and reports whether it had already run there, at any replica.
	RecordRun func(shard unit.ShardID, id unit.RequestID) bool
}

// Faults are the ways in which a running endpoint misbehaves; several can be set at once.
type Faults struct {
	// Slow multiplies the service time; 0 and 1 leave it as it is.
	Slow float64 `json:"slow,omitempty"`
	// Draining refuses new calls with status 503.
	Draining bool `json:"draining,omitempty"`
	// Shedding refuses new calls with status 429, as an overloaded endpoint does.
	Shedding bool `json:"shedding,omitempty"`
	// Snapshots lists the snapshots that the endpoint has; empty means all. Calls for others get status 409.
	Snapshots []unit.SnapshotID `json:"held,omitempty"`
	// CloseAfterRun closes the connection without a reply after the call has run.
	CloseAfterRun bool `json:"cut,omitempty"`
	// Truncate sends half of the reply's body and closes the connection.
	Truncate bool `json:"truncate,omitempty"`
	// Hang runs the call and then sends no reply until the caller closes the connection.
	Hang bool `json:"hang,omitempty"`
	// WrongShard sends the reply of another shard.
	WrongShard bool `json:"stray,omitempty"`
	// Stale replies with the snapshot before the requested one.
	Stale bool `json:"old,omitempty"`
	// DuplicateReply sends the complete reply twice.
	DuplicateReply bool `json:"double,omitempty"`
}

// Stats holds the counters of an endpoint.
type Stats struct {
	// Runs counts calls that got a slot.
	Runs int64 `json:"runs"`
	// Refused counts calls that were refused on arrival.
	Refused int64 `json:"refused"`
	// Wasted counts calls whose caller closed the connection while they ran.
	Wasted int64 `json:"wasted"`
	// RepeatedRuns counts repeated runs of a request at the same shard, for requests that must run at most once.
	RepeatedRuns int64 `json:"doubled"`
	// GivenUp counts calls that never got a slot: while they waited, their deadline passed or their caller closed the
	// connection.
	GivenUp int64 `json:"late"`
	// MaxPending is the largest number of calls that were running or waiting at the same time.
	MaxPending int64 `json:"most"`
	// LastCallAt is when the latest call arrived, refused calls included.
	LastCallAt time.Time `json:"last"`
}

// Server is one simulated endpoint.
type Server struct {
	settings Settings

	mu     sync.Mutex
	faults Faults
	stats  Stats
	// pending is the number of calls that run or wait for a slot.
	pending  int
	slots    chan struct{}
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// New returns an endpoint that doesn't listen yet.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		done:     make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leaf", s.handle)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Start listens at the configured address and serves in the background until Close.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", string(s.settings.Listen))
	if err != nil {
		return errors.Wrapf(err, "listen as endpoint %q", s.settings.ID)
	}
	s.listener = newLimitedListener(listener, s.settings.Connections, s.settings.ConnectTime)
	go func() {
		defer close(s.done)
		_ = s.server.Serve(s.listener)
	}()
	return nil
}

// Address returns the address that the endpoint listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// SetFaults replaces the current faults; calls that were already admitted keep the old ones.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stats returns the counters so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops the endpoint without waiting for its calls.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

// handle serves a call: it admits or refuses it, waits for a slot, runs it and sends the reply.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	faults, status := s.admit(r)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if !s.acquireSlot(r) {
		http.Error(w, "deadline passed in the queue", http.StatusTooManyRequests)
		return
	}
	completed := s.run(r, faults)
	<-s.slots
	if !completed {
		return
	}
	s.reply(w, r, faults)
}

// admit counts the call as pending, or returns the status to refuse it with; status is 0 for an admitted call.
func (s *Server) admit(r *http.Request) (faults Faults, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.LastCallAt = time.Now()
	faults = s.faults
	switch {
	case faults.Draining:
		status = http.StatusServiceUnavailable
	case faults.Shedding:
		status = http.StatusTooManyRequests
	case !hasSnapshot(faults.Snapshots, r.Header.Get(headerSnapshot)):
		status = http.StatusConflict
	case s.pending >= s.settings.QueueLimit+int(s.settings.Slots):
		status = http.StatusTooManyRequests
	default:
		s.pending++
		s.stats.MaxPending = max(s.stats.MaxPending, int64(s.pending))
		return faults, 0
	}
	s.stats.Refused++
	return faults, status
}

// hasSnapshot reports whether snapshots contains the snapshot; an empty list contains all.
func hasSnapshot(snapshots []unit.SnapshotID, snapshot string) bool {
	if len(snapshots) == 0 {
		return true
	}
	for _, id := range snapshots {
		if strconv.FormatUint(uint64(id), 10) == snapshot {
			return true
		}
	}
	return false
}

// acquireSlot waits for a slot and reports whether the call got one before its deadline passed or its caller closed the
// connection.
func (s *Server) acquireSlot(r *http.Request) bool {
	ms, _ := strconv.ParseInt(r.Header.Get(headerRemaining), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	acquired := false
	select {
	case s.slots <- struct{}{}:
		acquired = true
	case <-r.Context().Done():
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !acquired {
		s.pending--
		s.stats.GivenUp++
		return false
	}
	s.stats.Runs++
	id := unit.RequestID(r.Header.Get(headerRequest))
	if r.Header.Get(headerOnce) != "" && s.settings.RecordRun(s.settings.Shard, id) {
		s.stats.RepeatedRuns++
	}
	return true
}

// run lasts for the service time and reports whether the caller was still connected at its end.
func (s *Server) run(r *http.Request, faults Faults) bool {
	serviceTime := s.settings.ServiceTime()
	if faults.Slow > 0 {
		serviceTime = time.Duration(float64(serviceTime) * faults.Slow)
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	completed := true
	select {
	case <-timer.C:
	case <-r.Context().Done():
		completed = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if !completed {
		s.stats.Wasted++
	}
	return completed
}

// reply sends the reply, or misbehaves as the faults say. The body names the request, the shard and the snapshot, so
// that the load generator can check that a response belongs to its request.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, faults Faults) {
	snapshot := r.Header.Get(headerSnapshot)
	shard := s.settings.Shard
	if faults.WrongShard {
		shard += "-stray"
	}
	if faults.Stale {
		snapshot = previousSnapshot(snapshot)
	}
	body := ReplyBody(unit.RequestID(r.Header.Get(headerRequest)), shard, snapshot)
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.Header().Set(headerShard, string(shard))
	w.Header().Set(headerSnapshot, snapshot)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch {
	case faults.CloseAfterRun:
		panic(http.ErrAbortHandler)
	case faults.Truncate:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.DuplicateReply:
		writeTwice(w, body)
		return
	}
	_, _ = w.Write(body)
}

// previousSnapshot returns the number before the given one.
func previousSnapshot(snapshot string) string {
	n, _ := strconv.ParseUint(snapshot, 10, 64)
	return strconv.FormatUint(n-1, 10)
}

// writeTwice takes over the connection, writes the complete reply twice and closes it.
func writeTwice(w http.ResponseWriter, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	_, _ = c.Write(bytes.Repeat(text.Bytes(), 2))
}

// ReplyBody returns the body of an endpoint's correct reply to a request.
func ReplyBody(request unit.RequestID, shard unit.ShardID, snapshot string) []byte {
	return []byte(string(request) + "/" + string(shard) + "/" + snapshot)
}
