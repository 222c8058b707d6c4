// Package view holds the immutable view of the control state, which the control goroutine publishes and traffic reads
// without a lock.
package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/freshness"
	"basilspan/internal/policy/member"
)

// MaxWait is how long a request waits for a fresh view before it fails.
const MaxWait = 3 * time.Second

// View is the control state at one moment. It must not be changed after publication.
type View struct {
	// At is when the view was made; requests check its age.
	At       time.Time
	Revision unit.Revision
	// InForceSince is when the configuration came into force on this VM, zero if unknown.
	InForceSince time.Time
	// RefusedRevision is the highest revision that was refused, and Problem is the reason.
	RefusedRevision unit.Revision
	Problem         string
	// Catalog is nil until the first configuration is accepted.
	Catalog *catalog.Catalog
	Members []member.Member
	// Leaving holds the endpoints that get no new requests.
	Leaving map[unit.EndpointID]bool
}

// Store holds the latest view.
type Store struct {
	latest atomic.Pointer[View]
	mu     sync.Mutex
	// changed is closed on the next publication.
	changed chan struct{}
}

// NewStore returns a store with an empty view.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.latest.Store(&View{})
	return s
}

// Load returns the latest view, however old it is. It is never nil, and empty until the first publication.
func (s *Store) Load() *View {
	return s.latest.Load()
}

// Publish replaces the view and wakes up the requests that wait for a fresh one. Only the control goroutine calls it.
func (s *Store) Publish(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// AwaitFresh returns the latest view once it is recent enough to act on, by the clock that now reads. It waits for
// MaxWait at most, or until ctx ends; ok is false if the view is still too old then. The empty view of a new process
// is returned at once.
func (s *Store) AwaitFresh(ctx context.Context, now func() time.Time) (v *View, ok bool) {
	v = s.Load()
	if v.At.IsZero() || !freshness.IsStale(v.At, now()) {
		return v, true
	}
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		v = s.Load()
		if !freshness.IsStale(v.At, now()) {
			return v, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v, false
		}
	}
}
