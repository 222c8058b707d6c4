// Package registry simulates the platform's metadata store for tests: keys with revisions that can be listed in pages
// and watched. The store can compact its history, fail its requests and shut down.
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

// Fault is how the store fails its requests.
type Fault int

// The faults of a store.
const (
	FaultNone Fault = iota
	// Fault503 responds with status 503.
	Fault503
	// Fault429 responds with status 429.
	Fault429
	// FaultNoResponse holds requests open without a response.
	FaultNoResponse
	// FaultReset closes the connection without a response.
	FaultReset
)

// pollInterval is how often a watch looks for changes.
const pollInterval = 5 * time.Millisecond

// Store is a simulated metadata store that listens on loopback.
type Store struct {
	// PageSize is the maximum number of items of a page.
	PageSize int

	server *httptest.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]wireItem
	// events holds the changes after compacted, in order.
	events []wireItem
	// compacted is the revision up to which the history was discarded.
	compacted uint64
	fault     Fault
	// quit ends the requests that FaultNoResponse holds open.
	quit chan struct{}
	// reads counts all requests, failed ones included.
	reads int
}

// wireItem is a key's value at a revision, or its deletion.
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

// New starts an empty store.
func New() *Store {
	s := &Store{PageSize: 500, revision: 1, items: make(map[string]wireItem), quit: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Close stops the store and waits for its handlers.
func (s *Store) Close() {
	close(s.quit)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the address that the store listens at.
func (s *Store) Address() string {
	return s.server.Listener.Addr().String()
}

// Put sets the value of a key at a new revision.
func (s *Store) Put(key, value string) {
	s.apply(wireItem{Key: key, Value: []byte(value)})
}

// Delete removes a key at a new revision.
func (s *Store) Delete(key string) {
	s.apply(wireItem{Key: key, Deleted: true})
}

// apply applies a change at the next revision and adds it to the history.
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

// Compact discards the history, so that a watch from an earlier revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
}

// SetFault makes all later requests fail this way. A fault also closes the open connections, and with them the waiting
// watches; FaultNone ends the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f != FaultNone {
		s.server.CloseClientConnections()
	}
}

// Reads returns the number of requests so far, lists and watches, failed ones included.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// withFaults counts each request and fails it as the current fault says, or passes it on to next.
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

// list serves one page of the items with a key prefix, in the order of their keys and starting behind the key "after".
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

// watch serves a long poll: it responds as soon as there are changes after a revision, or with none after wait_ms. If
// the changes were discarded, it responds with status 410.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(pollInterval) {
		changes, compacted := s.changesSince(r.URL.Query().Get("prefix"), after)
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0 || time.Now().After(end) || r.Context().Err() != nil:
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
	}
}

// changesSince returns the changes after a revision to keys with the prefix; compacted reports that some of them were
// discarded.
func (s *Store) changesSince(prefix string, after uint64) (c wireChanges, compacted bool) {
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
