// Package leaving decides which endpoints get no new work. An endpoint is leaving if the configuration marks it, if the
// platform's list shows it as leaving, or if it has sent its own drain sign, whichever comes first.
//
// The configuration excludes an endpoint for as long as it marks it. A sign from the other sources is kept for one
// incarnation and address of the endpoint, as configured when the sign was seen. Only a configuration that gives the
// endpoint a higher incarnation or another address makes it eligible again. That depends on the content of the
// configuration alone, so all VMs decide alike.
package leaving

import (
	"sort"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Sign records that one incarnation of an endpoint, at one address, is leaving. VMs exchange signs by heartbeats.
type Sign struct {
	Endpoint    unit.EndpointID
	Incarnation unit.Incarnation
	Address     unit.Address
}

// SignOf returns the sign that the endpoint is leaving in its configured incarnation.
func SignOf(e catalog.Endpoint) Sign {
	return Sign{Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address}
}

// Set holds the signs that this VM knows. It belongs to the control goroutine.
type Set struct {
	// configured holds the endpoints of the configuration in force.
	configured map[unit.EndpointID]catalog.Endpoint
	signs      map[Sign]bool
	// listed holds the configured endpoints that the platform's latest list shows as leaving.
	listed map[unit.EndpointID]bool
}

// New returns an empty set.
func New() *Set {
	return &Set{signs: make(map[Sign]bool), listed: make(map[unit.EndpointID]bool)}
}

// Configure applies a configuration that has come into force and drops the signs that it makes obsolete: those of
// endpoints that are removed, or that have a higher incarnation or another address now.
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

// Add adds a sign that came from a peer or with an endpoint's response, and reports whether the set has changed. It
// ignores a sign that is known, one for an endpoint that is not configured, one for an older incarnation, and one for
// the configured incarnation at another address.
func (s *Set) Add(sign Sign) bool {
	if s.signs[sign] || !s.isCurrentOrFuture(sign) {
		return false
	}
	s.signs[sign] = true
	return true
}

// ApplyList applies the endpoints that the platform's list shows as leaving, and reports whether the set has changed.
// Only an endpoint that the previous list did not show adds a sign. A list that lags and keeps showing an endpoint does
// not exclude its next incarnation.
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

// Leaving returns the configured endpoints that get no new work, because of the configuration or of a sign.
func (s *Set) Leaving() map[unit.EndpointID]bool {
	all := make(map[unit.EndpointID]bool)
	for id, e := range s.configured {
		if e.Leaving || s.signs[SignOf(e)] {
			all[id] = true
		}
	}
	return all
}

// Signs returns all signs in a fixed order, to be sent to the other VMs with each heartbeat.
func (s *Set) Signs() []Sign {
	all := make([]Sign, 0, len(s.signs))
	for sign := range s.signs {
		all = append(all, sign)
	}
	sort.Slice(all, func(i, j int) bool { return lessSign(all[i], all[j]) })
	return all
}

// isCurrentOrFuture reports whether a sign is for the configured incarnation and address of an endpoint, or for a
// higher incarnation. This VM may receive a peer's sign before the configuration that raises the incarnation.
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

// lessSign reports whether a sorts before b: by endpoint, then incarnation, then address.
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
