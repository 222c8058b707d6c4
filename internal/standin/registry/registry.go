// Package registry is a stand-in of the platform's metadata store: keys with revisions that are listed page by page and
// watched. It can lose its history, its answers and itself.
package registry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what the store does instead of answering.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// Fault503 answers 503.
	Fault503
	// Fault429 answers 429.
	Fault429
	// FaultNoResponse never answers.
	FaultNoResponse
	// FaultReset ends the connection.
	FaultReset
)

// pollInterval is the time between two looks of a watch for changes.
const pollInterval = 5 * time.Millisecond

// Store is a store that listens on loopback.
type Store struct {
	// PageSize is how many items one page holds.
	PageSize int

	server *httptest.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]wireItem
	events   []wireItem
	// compacted is the revision up to which the history is lost.
	compacted uint64
	fault     Fault
	// quit ends the requests that are never answered.
	quit  chan struct{}
	reads int
}

// wireItem is a key at a revision, or its end.
type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type wirePage struct {
	Items     []wireItem `json:"items"`
	Truncated bool       `json:"truncated"`
	At        uint64     `json:"at"`
}

type wireChanges struct {
	Events []wireItem `json:"events"`
	At     uint64     `json:"at"`
}

// New starts a store without items.
func New() *Store {
	s := &Store{PageSize: 500, revision: 1, items: make(map[string]wireItem), quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Close ends the store and waits.
func (s *Store) Close() {
	close(s.quit)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address gives the address that the store listens at.
func (s *Store) Address() string {
	return s.server.Listener.Addr().String()
}

// Put writes a key.
func (s *Store) Put(key, value string) {
	s.apply(wireItem{Key: key, Value: []byte(value)})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.apply(wireItem{Key: key, Deleted: true})
}

func (s *Store) apply(i wireItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.events = append(s.events, i)
	if i.Deleted {
		delete(s.items, i.Key)
		return
	}
	s.items[i.Key] = i
}

// Compact loses the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
}

// SetFault has the store do that instead of answering, also to watches that are waiting.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f != FaultNone {
		s.server.CloseClientConnections()
	}
}

// Reads gives how many reads have come so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.reads++
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case FaultNone:
			next.ServeHTTP(w, r)
		case Fault503:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Fault429:
			w.WriteHeader(http.StatusTooManyRequests)
		case FaultReset:
			panic(http.ErrAbortHandler)
		case FaultNoResponse:
			select {
			case <-r.Context().Done():
			case <-s.quit:
			}
		}
	})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	page := wirePage{Items: []wireItem{}, At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b wireItem) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > s.PageSize {
		page.Items = page.Items[:s.PageSize]
		page.Truncated = true
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(pollInterval) {
		changes, gone := s.changesSince(r.URL.Query().Get("prefix"), after)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0 || time.Now().After(end) || r.Context().Err() != nil:
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
	}
}

// changesSince gives the changes after a revision; gone says that they are lost.
func (s *Store) changesSince(prefix string, after uint64) (c wireChanges, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return wireChanges{}, true
	}
	c = wireChanges{Events: []wireItem{}, At: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			c.Events = append(c.Events, e)
		}
	}
	return c, false
}
