// Package catalog defines the accepted configuration as typed values: ranks, searches, snapshots and endpoints.
//
// A catalog is immutable once built. Every entry VM that accepts the same content builds the same catalog.
package catalog

import (
	"sort"

	"basilspan/internal/core/unit"
)

// Aim is what a search prefers when it cannot have both low latency and full coverage.
type Aim string

// The aims.
const (
	// AimLatency prefers an answer with less coverage to a late one.
	AimLatency Aim = "latency"
	// AimCoverage waits for every shard, up to the deadline.
	AimCoverage Aim = "coverage"
)

// Rank is a priority class of requests.
type Rank struct {
	Name    unit.RankName
	Urgency unit.Urgency
	// Floor is the share of a search's capacity that the rank gets no matter how much work other ranks send.
	Floor unit.Share
}

// Endpoint is a server of one replica of one shard.
type Endpoint struct {
	ID          unit.EndpointID
	Shard       unit.ShardID
	Address     unit.Address
	Centre      unit.CentreName
	Slots       unit.Slots
	Connections unit.Connections
	// Incarnation is raised by operators when a leaving endpoint returns to service at the same address.
	Incarnation unit.Incarnation
	// Leaving is set by operators so that the endpoint gets no new work.
	Leaving bool
}

// Snapshot is one version of a search's index and its partitioning.
type Snapshot struct {
	ID     unit.SnapshotID
	Shards []unit.ShardID
}

// Search is one configured search service, with the snapshots of its index and the endpoints that serve them.
type Search struct {
	Name   unit.SearchName
	Tenant unit.TenantName
	Aim    Aim
	// Once means that no request of this search may run more than once at each shard.
	Once bool
	// Hedge allows a second attempt at a slow shard.
	Hedge bool
	// Minimum is the lowest coverage at which the caller gets the parts of an answer.
	Minimum unit.Share
	// Snapshots are ordered from the oldest to the newest.
	Snapshots []Snapshot
	// Endpoints are ordered by id.
	Endpoints []Endpoint
}

// Catalog is one whole configuration.
type Catalog struct {
	Ranks    map[unit.RankName]Rank
	Searches map[unit.SearchName]*Search
}

// RankNames returns the names of the ranks, from the most to the least urgent and by name where equally urgent. It has
// no callers.
func (c *Catalog) RankNames() []unit.RankName {
	names := make([]unit.RankName, 0, len(c.Ranks))
	for name := range c.Ranks {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := c.Ranks[names[i]], c.Ranks[names[j]]
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		return a.Name < b.Name
	})
	return names
}

// Replicas returns the endpoints of one shard ordered by id, including leaving ones. It has no callers.
func (s *Search) Replicas(shard unit.ShardID) []Endpoint {
	var found []Endpoint
	for _, e := range s.Endpoints {
		if e.Shard == shard {
			found = append(found, e)
		}
	}
	return found
}

// NewestSnapshot returns the newest snapshot; ok is false when the search has none.
func (s *Search) NewestSnapshot() (snapshot Snapshot, ok bool) {
	if len(s.Snapshots) == 0 {
		return Snapshot{}, false
	}
	return s.Snapshots[len(s.Snapshots)-1], true
}
