// Package discovery owns the discovery state of an entry VM: the routing table, the known endpoints and the other entry
// VMs. The state lives on the control goroutine, which publishes immutable views that traffic reads without a lock.
package discovery

import (
	"slices"
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/routing"
	"basilspan/internal/policy/subset"
	"basilspan/internal/policy/vmcount"
)

// View is the discovered state at one moment. It is never changed once published.
type View struct {
	// Table is nil until the first routing table is known.
	Table *routing.Table
	// TableValue is the table as it was published.
	TableValue []byte
	// TableSince is when the table came into force on this VM.
	TableSince time.Time
	// Endpoints are those that may get requests, none of an evacuated data centre. It is nil until the first listing.
	Endpoints map[unit.ServiceName][]directory.Endpoint
	// EndpointsRevision is the registry revision that Endpoints reflects.
	EndpointsRevision unit.Revision
	// Evacuated are the evacuated data centres, sorted by name.
	Evacuated []unit.CentreName
	// RegistryReadAt is when this VM last read the registry, directly or through a peer that relays it.
	RegistryReadAt time.Time
	// VMs is the number of entry VMs, this one included.
	VMs int
	// CountKnown reports whether VMs and Candidates have been counted; before that they are initial estimates.
	CountKnown bool
	// Candidates are the VMs that can serve portions of a divided request, in the same order at every VM.
	Candidates []divide.Candidate

	placement placement
}

// placement is which VMs serve the shards of the gathered routes.
type placement struct {
	// groups holds the groups of each route whose requests are divided.
	groups map[unit.RouteName][]divide.Group
	// vms is the number of VMs that use the endpoints of a service; this VM is one of them. Other services are used by
	// all VMs.
	vms map[unit.ServiceName]int
}

// ConnectionBudget returns the connection limit of a service's endpoints and the number of VMs that share it.
func (v *View) ConnectionBudget(service unit.ServiceName) subset.ConnectionBudget {
	budget := subset.ConnectionBudget{Connections: v.Table.Connections(service), VMs: v.VMs}
	if n, ok := v.placement.vms[service]; ok {
		budget.VMs = n
	}
	return budget
}

// Groups returns the groups into which a route's requests are divided, nil if they are not divided.
func (v *View) Groups(route unit.RouteName) []divide.Group {
	return v.placement.groups[route]
}

// Sharers returns the VMs among which the requests to endpoints of a service may be shared: those that serve it as a shard
// of a divided route or, for other services, the candidates. It returns node alone if there is no other VM.
func (v *View) Sharers(node unit.NodeID, service unit.ServiceName) []unit.NodeID {
	var all []unit.NodeID
	for _, r := range v.Table.Routes() {
		for _, g := range v.Groups(r.Name) {
			if !slices.ContainsFunc(g.Shards, func(shard int) bool { return r.Shards[shard] == service }) {
				continue
			}
			for _, c := range g.VMs {
				if !slices.Contains(all, c.Node) {
					all = append(all, c.Node)
				}
			}
		}
	}
	if len(all) > 0 {
		return all
	}
	for _, c := range v.Candidates {
		all = append(all, c.Node)
	}
	if len(all) == 0 && v.CountKnown && v.VMs <= 1 {
		all = append(all, node)
	}
	return all
}

// ServesShards reports whether this VM normally serves a service as a shard of gathered routes.
func (v *View) ServesShards(service unit.ServiceName) bool {
	_, ok := v.placement.vms[service]
	return ok
}

// Complete reports whether both the routing table and the endpoints are known, so that requests can be served.
func (v *View) Complete() bool {
	return v.Table != nil && v.Endpoints != nil
}

// HasEndpoint reports whether an endpoint is among those that may get requests, at the same address.
func (v *View) HasEndpoint(e directory.Endpoint) bool {
	return slices.ContainsFunc(v.Endpoints[e.Service], func(known directory.Endpoint) bool {
		return known.ID == e.ID && known.Address == e.Address
	})
}

// Views holds the latest view. It is safe for concurrent use.
type Views struct {
	latest atomic.Pointer[View]
}

// NewViews returns a store with an empty view.
func NewViews() *Views {
	v := &Views{}
	v.latest.Store(&View{VMs: vmcount.InitialEstimate})
	return v
}

// Load returns the latest view. It is never nil, but not Complete at first.
func (v *Views) Load() *View {
	return v.latest.Load()
}

// Publish replaces the view. In an entry VM only the control goroutine calls it.
func (v *Views) Publish(next *View) {
	v.latest.Store(next)
}
