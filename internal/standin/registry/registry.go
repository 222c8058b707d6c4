// Package registry simulates the platform's metadata store for tests: keys with revisions that can be listed in pages
// and watched. The store can compact its history, be restored from a copy, fail its requests and shut down.
package registry

import (
	"encoding/json"
	"maps"
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
	// EraHeader replaces the header field with the era in all responses; an empty string omits the field.
	EraHeader *string
	// AfterPage is called after each page of a listing; nil does nothing.
	AfterPage func()

	server *httptest.Server

	mu       sync.Mutex
	era      uint64
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
	era    uint64
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

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact discards the history, so that a watch from an earlier revision gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
}

// Copy is a copy of a store's contents at one revision.
type Copy struct {
	revision uint64
	items    map[string]wireItem
}

// Copy returns a copy of the current contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore replaces the contents by a copy and starts the next era. The changes since the copy are lost, and later ones
// get their revisions.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.items = maps.Clone(c.items)
	s.events = slices.DeleteFunc(s.events, func(e wireItem) bool { return e.Revision > c.revision })
	s.compacted = min(s.compacted, c.revision)
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

// withFaults counts each request, sets the header with the era, and fails the request as the current fault says or
// passes it on to next.
func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.reads++
		fault := s.fault
		s.setEra(w, s.era)
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

// setEra sets the header field with the era, which all responses have unless EraHeader omits it.
func (s *Store) setEra(w http.ResponseWriter, era uint64) {
	text := strconv.FormatUint(era, 10)
	if s.EraHeader != nil {
		text = *s.EraHeader
	}
	if text != "" {
		w.Header().Set("Store-Era", text)
	}
}

// list serves one page of the items with a key prefix, in the order of their keys and starting behind the key "after".
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	if s.AfterPage != nil {
		defer s.AfterPage()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w, s.era)
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
// the changes were discarded, or a restore has taken back the revision, it responds with status 410.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(pollInterval) {
		changes, compacted := s.changesSince(r.URL.Query().Get("prefix"), after)
		s.setEra(w, changes.era)
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

// changesSince returns the changes after a revision to keys with the prefix; compacted reports that the store does not
// have the history since then.
func (s *Store) changesSince(prefix string, after uint64) (c wireChanges, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return wireChanges{era: s.era}, true
	}
	c = wireChanges{era: s.era, Events: []wireItem{}, At: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			c.Events = append(c.Events, e)
		}
	}
	return c, false
}
