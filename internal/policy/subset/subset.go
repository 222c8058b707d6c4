// Package subset limits the endpoints to which an entry VM keeps connections, so that all VMs together stay below the
// number of connections that an endpoint accepts.
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// plannedShare is the share of an endpoint's connections that the VMs plan to use. The rest is a reserve for
// endpoints that more VMs than average happen to choose, for VMs that are starting and for connections that are still
// closing.
const plannedShare = 0.75

// spareConnections is how many connections to one endpoint a VM may hold beyond the endpoint's slots. With more,
// requests would only queue at the endpoint instead of at the VM.
const spareConnections = 1

// ConnectionBudget describes how many connections an endpoint accepts and how many VMs share them.
type ConnectionBudget struct {
	// Connections is how many connections the endpoint accepts; 0 means that no limit is published.
	Connections unit.Connections
	// VMs is how many entry VMs use the endpoint.
	VMs int
}

// PerVM returns how many connections a VM may hold to an endpoint that runs this many requests at a time. It is at
// least 1.
func (b ConnectionBudget) PerVM(slots unit.Slots) int {
	return max(1, min(int(b.fairShare()), int(slots)+spareConnections))
}

// scarce reports whether the endpoint accepts fewer connections than there are VMs. One that a VM kept without a use
// for it would be missing at another VM.
func (b ConnectionBudget) scarce() bool {
	return b.fairShare() < 1
}

// fairShare returns the number of connections for each VM, which may be less than one.
func (b ConnectionBudget) fairShare() float64 {
	if b.Connections <= 0 {
		return math.MaxInt32
	}
	return plannedShare * float64(b.Connections) / float64(max(b.VMs, 1))
}

// Subset returns the endpoints of each service to which a VM may keep connections. Where more VMs use an endpoint
// than it accepts connections, each VM skips a different part of the endpoints, but never all endpoints of a service.
func Subset(
	self unit.NodeID, budget func(unit.ServiceName) ConnectionBudget, byService map[unit.ServiceName][]directory.Endpoint,
) map[unit.ServiceName][]directory.Endpoint {
	subsets := make(map[unit.ServiceName][]directory.Endpoint, len(byService))
	for service, endpoints := range byService {
		subsets[service] = selectSubset(self, budget(service).fairShare(), endpoints)
	}
	return subsets
}

// selectSubset returns the endpoints of one service to which a VM may keep connections. Each endpoint is selected with
// the probability fairShare, by a hash instead of at random, so that the selection is stable. If none is selected, it
// returns the endpoint with the lowest hash.
func selectSubset(self unit.NodeID, fairShare float64, endpoints []directory.Endpoint) []directory.Endpoint {
	if fairShare >= 1 || len(endpoints) < 2 {
		return endpoints
	}
	kept := make([]directory.Endpoint, 0, len(endpoints))
	lowest, lowestFraction := 0, 1.0
	for i, e := range endpoints {
		fraction := hashFraction(self, e.ID)
		if fraction < fairShare {
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

// hashFraction returns a number from 0 to 1 that depends only on the VM and the endpoint.
func hashFraction(self unit.NodeID, id unit.EndpointID) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(string(self)+"/"+string(id))>>(64-bits)) / (1 << bits)
}
