// Package outlook owns what an entry VM believes about routes and endpoints. It lives on the control goroutine, which
// publishes immutable views that traffic reads without a lock.
package outlook

import (
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/census"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/reach"
	"basilspan/internal/policy/routing"
)

// View is the belief at one moment; it is never changed once published.
type View struct {
	// Table is nil before the first routing table is known.
	Table *routing.Table
	// TableSince is when the table came into force here.
	TableSince time.Time
	// Endpoints are those that may get requests; it is nil before the first listing of the registry.
	Endpoints map[unit.ServiceName][]directory.Endpoint
	// EndpointsRevision is the registry's revision that Endpoints stand for.
	EndpointsRevision unit.Revision
	// RegistryReadAt is when the registry last answered.
	RegistryReadAt time.Time
	// VMs is how many entry VMs there are, this one included.
	VMs int
	// CountReliable says that VMs and Mates are more than a guess.
	CountReliable bool
	// Candidates are the VMs that share requests with this one, this one included, in the order that all of them have.
	Candidates []divide.Candidate

	// users is how many VMs use the endpoints of a service where that is fewer than all.
	users map[unit.ServiceName]int
}

// Share gives what the VMs that use the endpoints of a service have in common.
func (v *View) Share(service unit.ServiceName) reach.ConnectionBudget {
	s := reach.ConnectionBudget{Connections: v.Table.Connections(service), VMs: v.VMs}
	if n, ok := v.users[service]; ok {
		s.VMs = n
	}
	return s
}

// ServesShard says whether this VM serves the shard of a route for requests that are divided.
func (v *View) ServesShard(self unit.NodeID, r *routing.Route, shard int) bool {
	return divide.Serves(self, v.Candidates, len(r.Shards), shard)
}

// Complete says whether requests can be served.
func (v *View) Complete() bool {
	return v.Table != nil && v.Endpoints != nil
}

// Views holds the latest view.
type Views struct {
	latest atomic.Pointer[View]
}

// NewViews makes a store with an empty view.
func NewViews() *Views {
	v := &Views{}
	v.latest.Store(&View{VMs: census.InitialEstimate})
	return v
}

// Load gives the latest view; it is never nil.
func (v *Views) Load() *View {
	return v.latest.Load()
}

// Publish replaces the view; the control goroutine alone calls it in an entry VM.
func (v *Views) Publish(next *View) {
	v.latest.Store(next)
}
