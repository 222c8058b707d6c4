// Package endpoint is a small stand-in for endpoints: slots with a queue in arrival order behind them, a limit of
// connections, connect time, service time, and the faults that the proofs need. Many endpoints share one process.
//
// It uses the standard library's server, since each endpoint needs a listener of its own that limits connections.
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

// The headers of a call and its reply.
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
	// QueueLimit is how many calls may wait for a slot before further ones are refused.
	QueueLimit int
	// ConnectTime is how long a new connection takes.
	ConnectTime time.Duration
	// ServiceTime gives how long the next call runs.
	ServiceTime func() time.Duration
	// RecordRun takes the run of a request at a shard and says whether it has run there before, at any replica.
	RecordRun func(shard unit.ShardID, id unit.RequestID) bool
}

// Faults change an endpoint's behaviour while it runs.
type Faults struct {
	// Slow multiplies the service time; 0 and 1 change nothing.
	Slow float64 `json:"slow,omitempty"`
	// Draining endpoints refuse new calls.
	Draining bool `json:"draining,omitempty"`
	// Shedding endpoints refuse new calls for a while, as overloaded ones do.
	Shedding bool `json:"shedding,omitempty"`
	// Snapshots are the snapshots that the endpoint holds; empty means any.
	Snapshots []unit.SnapshotID `json:"held,omitempty"`
	// CloseAfterRun closes the connection after the call has run, without a reply.
	CloseAfterRun bool `json:"cut,omitempty"`
	// Truncate ends the reply's body early.
	Truncate bool `json:"truncate,omitempty"`
	// Hang runs the call and then says nothing until the caller goes.
	Hang bool `json:"hang,omitempty"`
	// WrongShard replies for another shard.
	WrongShard bool `json:"stray,omitempty"`
	// Stale replies with the snapshot before the one that was asked for.
	Stale bool `json:"old,omitempty"`
	// DuplicateReply sends the whole reply twice.
	DuplicateReply bool `json:"double,omitempty"`
}

// Stats count what an endpoint has seen.
type Stats struct {
	// Runs are the calls that got a slot.
	Runs int64 `json:"runs"`
	// Refused are the calls refused before they ran.
	Refused int64 `json:"refused"`
	// Wasted are the calls that ran and whose caller had gone by their end.
	Wasted int64 `json:"wasted"`
	// RepeatedRuns are the runs of a request that had run at the shard before and may run only once.
	RepeatedRuns int64 `json:"doubled"`
	// GivenUp are the calls whose deadline passed, or whose caller went, while they waited for a slot.
	GivenUp int64 `json:"late"`
	// MaxPending is the largest number of calls that ran or waited at once.
	MaxPending int64 `json:"most"`
	// LastCallAt is when the newest call came in.
	LastCallAt time.Time `json:"last"`
}

// Server is one endpoint.
type Server struct {
	settings Settings

	mu       sync.Mutex
	faults   Faults
	stats    Stats
	pending  int
	slots    chan struct{}
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// New makes an endpoint.
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

// Start listens.
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

// Address gives the address that the endpoint listens at.
func (s *Server) Address() unit.Address {
	return unit.Address(s.listener.Addr().String())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close ends the endpoint at once.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

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

// admit gives a status other than 0 when the call is refused.
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

func hasSnapshot(held []unit.SnapshotID, snapshot string) bool {
	if len(held) == 0 {
		return true
	}
	for _, id := range held {
		if strconv.FormatUint(uint64(id), 10) == snapshot {
			return true
		}
	}
	return false
}

// acquireSlot waits for a slot; it gives up when the caller goes or the call's deadline passes.
func (s *Server) acquireSlot(r *http.Request) bool {
	ms, _ := strconv.ParseInt(r.Header.Get(headerRemaining), 10, 64)
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	got := false
	select {
	case s.slots <- struct{}{}:
		got = true
	case <-r.Context().Done():
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !got {
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

// run takes the service time; it says false when the caller went before the end.
func (s *Server) run(r *http.Request, faults Faults) bool {
	took := s.settings.ServiceTime()
	if faults.Slow > 0 {
		took = time.Duration(float64(took) * faults.Slow)
	}
	timer := time.NewTimer(took)
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

// reply writes a body that names what it answers, so that the load sender can check whose answer it got.
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

// previousSnapshot gives the number of the snapshot before.
func previousSnapshot(snapshot string) string {
	n, _ := strconv.ParseUint(snapshot, 10, 64)
	return strconv.FormatUint(n-1, 10)
}

// writeTwice writes the whole reply twice to the connection.
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

// ReplyBody gives the body that a stand-in endpoint answers with.
func ReplyBody(request unit.RequestID, shard unit.ShardID, snapshot string) []byte {
	return []byte(string(request) + "/" + string(shard) + "/" + snapshot)
}
