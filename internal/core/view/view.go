// Package view holds the immutable view of the control state that the control goroutine publishes and traffic reads
// without a lock.
package view

import (
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
)

// View is the control state at one moment; it is never changed once published.
type View struct {
	// At is when the view was made; traffic checks its age.
	At       time.Time
	Revision unit.Revision
	// Since is when the configuration came into force on this VM; zero means that it is not known.
	Since time.Time
	// Refused is the highest revision that was refused, and Problem the reason.
	Refused unit.Revision
	Problem string
	// Catalog is nil before the first configuration is accepted.
	Catalog *catalog.Catalog
	Members []member.Member
	// Leaving are the endpoints that get no new work.
	Leaving map[unit.EndpointID]bool
}

// Store holds the latest view.
type Store struct {
	latest atomic.Pointer[View]
}

// NewStore makes a store with an empty view.
func NewStore() *Store {
	s := &Store{}
	s.latest.Store(&View{})
	return s
}

// Load gives the latest view; it is never nil.
func (s *Store) Load() *View {
	return s.latest.Load()
}

// Publish replaces the view; only the control goroutine calls it.
func (s *Store) Publish(v *View) {
	s.latest.Store(v)
}
