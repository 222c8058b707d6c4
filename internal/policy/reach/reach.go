// Package reach limits which endpoints an entry VM keeps connections to, so that all VMs together stay below what an
// endpoint accepts.
package reach

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// plannedShare is the share of an endpoint's connections that the VMs plan for; the rest is for the chance by which more VMs than
// the mean choose an endpoint, for VMs that start and for connections that are still closing.
const plannedShare = 0.75

// spareConnections is how many connections to one endpoint a VM holds at the most beyond the endpoint's slots: more calls than
// that only wait at the endpoint instead of here.
const spareConnections = 1

// ConnectionBudget is what the VMs that use an endpoint have in common.
type ConnectionBudget struct {
	// Connections is how many connections the endpoint accepts; 0 means that no limit is published.
	Connections unit.Connections
	// VMs is how many entry VMs use the endpoint.
	VMs int
}

// PerVM gives how many connections a VM may hold to an endpoint that runs that many requests at a time. It is 1 at least.
func (s ConnectionBudget) PerVM(slots unit.Slots) int {
	return max(1, min(int(s.fairShare()), int(slots)+spareConnections))
}

// fairShare gives how many connections there are for each VM, which may be less than one.
func (s ConnectionBudget) fairShare() float64 {
	if s.Connections <= 0 {
		return math.MaxInt32
	}
	return plannedShare * float64(s.Connections) / float64(max(s.VMs, 1))
}

// Subset gives the endpoints of each service that a VM may keep connections to. Where more VMs use an endpoint than it
// accepts connections, each VM leaves out another part of the endpoints, but never all of a service.
func Subset(
	self unit.NodeID, budget func(unit.ServiceName) ConnectionBudget, byService map[unit.ServiceName][]directory.Endpoint,
) map[unit.ServiceName][]directory.Endpoint {
	subsets := make(map[unit.ServiceName][]directory.Endpoint, len(byService))
	for service, endpoints := range byService {
		subsets[service] = selectSubset(self, budget(service).fairShare(), endpoints)
	}
	return subsets
}

func selectSubset(self unit.NodeID, portion float64, endpoints []directory.Endpoint) []directory.Endpoint {
	if portion >= 1 || len(endpoints) < 2 {
		return endpoints
	}
	kept := make([]directory.Endpoint, 0, len(endpoints))
	lowest, lowestFraction := 0, 1.0
	for i, e := range endpoints {
		fraction := hashFraction(self, e.ID)
		if fraction < portion {
			kept = append(kept, e)
		}
		if fraction < lowestFraction {
			lowest, lowestFraction = i, fraction
		}
	}
	if len(kept) == 0 {
		return endpoints[lowest : lowest+1]
	}
	return kept
}

// hashFraction gives a number from 0 to 1 that is fixed for a VM and an endpoint.
func hashFraction(self unit.NodeID, id unit.EndpointID) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(string(self)+"/"+string(id))>>(64-bits)) / (1 << bits)
}
