// Package view holds the immutable view of the control state that the control goroutine publishes and traffic reads
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

// MaxWait is how long traffic waits for a fresh view before it gives up.
const MaxWait = 3 * time.Second

// View is the control state at one moment; it is never changed once published.
type View struct {
	// At is when the view was made; traffic checks its age.
	At       time.Time
	Revision unit.Revision
	// InForceSince is when the configuration came into force on this VM; zero means that it is not known.
	InForceSince time.Time
	// RefusedRevision is the highest revision that was refused, and Problem the reason.
	RefusedRevision unit.Revision
	Problem         string
	// Catalog is nil before the first configuration is accepted.
	Catalog *catalog.Catalog
	Members []member.Member
	// Leaving are the endpoints that get no new work.
	Leaving map[unit.EndpointID]bool
}

// Store holds the latest view.
type Store struct {
	latest atomic.Pointer[View]
	mu     sync.Mutex
	// changed is closed at the next publication.
	changed chan struct{}
}

// NewStore makes a store with an empty view.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.latest.Store(&View{})
	return s
}

// Load gives the latest view; it is never nil.
func (s *Store) Load() *View {
	return s.latest.Load()
}

// Publish replaces the view; only the control goroutine calls it.
func (s *Store) Publish(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// AwaitFresh gives the latest view once it is young enough to act on, as of the time that now gives. It waits for at most
// MaxWait or until ctx ends; ok is false when the view is still too old then. The empty view of a new process is given
// at once.
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
