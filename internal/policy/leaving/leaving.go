// Package leaving decides which endpoints get no new work. The platform's list, the configuration and the endpoint's
// own drain sign all count; the first to say so wins.
//
// The configuration takes an endpoint out for as long as it says so. Each other sign is kept for the endpoint's
// incarnation and address as configured when it was seen, and only a configuration that gives it a higher incarnation
// or another address brings it back. That depends on the content alone, so every node decides alike.
package leaving

import (
	"sort"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Sign says that one life of an endpoint is leaving.
type Sign struct {
	Endpoint    unit.EndpointID
	Incarnation unit.Incarnation
	Address     unit.Address
}

// SignOf gives the sign for an endpoint as it is configured.
func SignOf(e catalog.Endpoint) Sign {
	return Sign{Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address}
}

// Set holds the signs. It belongs to the control goroutine.
type Set struct {
	configured map[unit.EndpointID]catalog.Endpoint
	signs      map[Sign]bool
	listed     map[unit.EndpointID]bool
}

// New makes an empty set.
func New() *Set {
	return &Set{signs: make(map[Sign]bool), listed: make(map[unit.EndpointID]bool)}
}

// Configure takes the configuration in force; signs of earlier lives are dropped.
func (s *Set) Configure(c *catalog.Catalog) {
	s.configured = make(map[unit.EndpointID]catalog.Endpoint)
	for _, search := range c.Searches {
		for _, e := range search.Endpoints {
			s.configured[e.ID] = e
		}
	}
	for sign := range s.signs {
		if !s.isCurrentOrFuture(sign) {
			delete(s.signs, sign)
		}
	}
}

// Add takes a sign; it says whether the set has changed.
func (s *Set) Add(sign Sign) bool {
	if s.signs[sign] || !s.isCurrentOrFuture(sign) {
		return false
	}
	s.signs[sign] = true
	return true
}

// ApplyList takes the endpoints that the platform's list shows as leaving; it says whether the set has changed. Only the
// change to leaving counts: a list that goes on saying so, because it lags, does not take out the next life.
func (s *Set) ApplyList(ids []unit.EndpointID) bool {
	changed := false
	listed := make(map[unit.EndpointID]bool, len(ids))
	for _, id := range ids {
		e, ok := s.configured[id]
		if !ok {
			continue
		}
		listed[id] = true
		if !s.listed[id] && s.Add(SignOf(e)) {
			changed = true
		}
	}
	s.listed = listed
	return changed
}

// Leaving gives the endpoints that get no new work.
func (s *Set) Leaving() map[unit.EndpointID]bool {
	all := make(map[unit.EndpointID]bool)
	for id, e := range s.configured {
		if e.Leaving || s.signs[SignOf(e)] {
			all[id] = true
		}
	}
	return all
}

// Signs gives every sign in a fixed order, to tell the other nodes.
func (s *Set) Signs() []Sign {
	all := make([]Sign, 0, len(s.signs))
	for sign := range s.signs {
		all = append(all, sign)
	}
	sort.Slice(all, func(i, j int) bool { return lessSign(all[i], all[j]) })
	return all
}

// isCurrentOrFuture says whether a sign is of the configured life of an endpoint or of a later one.
func (s *Set) isCurrentOrFuture(sign Sign) bool {
	e, ok := s.configured[sign.Endpoint]
	if !ok {
		return false
	}
	if sign.Incarnation == e.Incarnation {
		return sign.Address == e.Address
	}
	return sign.Incarnation > e.Incarnation
}

func lessSign(a, b Sign) bool {
	switch {
	case a.Endpoint != b.Endpoint:
		return a.Endpoint < b.Endpoint
	case a.Incarnation != b.Incarnation:
		return a.Incarnation < b.Incarnation
	default:
		return a.Address < b.Address
	}
}
