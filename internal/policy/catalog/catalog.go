// Package catalog holds the accepted configuration as typed values: ranks, searches, snapshots and endpoints.
//
// A catalog is immutable once built; every entry VM that accepts the same content builds the same catalog.
package catalog

import (
	"sort"

	"basilspan/internal/core/unit"
)

// Aim says what a search gives up last.
type Aim string

// The aims.
const (
	// AimLatency gives an answer with less coverage rather than a late one.
	AimLatency Aim = "latency"
	// AimCoverage waits for every shard until the deadline.
	AimCoverage Aim = "coverage"
)

// Rank is one rank of work.
type Rank struct {
	Name    unit.RankName
	Urgency unit.Urgency
	// Floor is the share of a search's capacity that the rank receives in every flood of other ranks.
	Floor unit.Share
}

// Endpoint is one endpoint, which serves one replica of one shard.
type Endpoint struct {
	ID          unit.EndpointID
	Shard       unit.ShardID
	Address     unit.Address
	Centre      unit.CentreName
	Slots       unit.Slots
	Connections unit.Connections
	// Incarnation is raised by operators when a leaving endpoint comes back at the same address.
	Incarnation unit.Incarnation
	// Leaving is set by operators to take the endpoint out of service.
	Leaving bool
}

// Snapshot is one version of a search's index and its partitioning.
type Snapshot struct {
	ID     unit.SnapshotID
	Shards []unit.ShardID
}

// Search is one search and the groups of shards that make it up.
type Search struct {
	Name   unit.SearchName
	Tenant unit.TenantName
	Aim    Aim
	// Once says that no request of this search may run more than once.
	Once bool
	// Hedge allows a second attempt at a slow shard.
	Hedge bool
	// Minimum is the least coverage of an answer; below it the caller gets no parts.
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

// RankNames gives the ranks from the most to the least urgent.
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

// Replicas gives the endpoints of one shard, ordered by id, leaving ones included.
func (s *Search) Replicas(shard unit.ShardID) []Endpoint {
	var found []Endpoint
	for _, e := range s.Endpoints {
		if e.Shard == shard {
			found = append(found, e)
		}
	}
	return found
}

// NewestSnapshot gives the newest snapshot; ok is false when the search has none.
func (s *Search) NewestSnapshot() (snapshot Snapshot, ok bool) {
	if len(s.Snapshots) == 0 {
		return Snapshot{}, false
	}
	return s.Snapshots[len(s.Snapshots)-1], true
}
