package fanout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// maxSnapshots is the number of snapshots that one query may try, the first one included.
	maxSnapshots = 3
	// similarCostRatio is how many times the lowest cost of a shard a replica may cost and still count as equally good.
	similarCostRatio = 1.5
	// defaultLatency is assumed for an endpoint without a measured latency.
	defaultLatency = 5 * time.Millisecond
)

// EndpointState is what an entry VM knows about an endpoint from its own calls and from its peers.
type EndpointState struct {
	// Leaving means that the endpoint gets no new work.
	Leaving bool
	// Ejected endpoints are queried after all others of their shard.
	Ejected bool
	// Failing endpoints have failed and not answered since. Each query tries at most one of them first.
	Failing bool
	// SameCentre means that the endpoint is in the data centre of the entry VM.
	SameCentre bool
	// OpenAttempts is the number of attempts that this entry VM has open at the endpoint.
	OpenAttempts int
	// Latency is the recent latency of the endpoint's replies; 0 means that none is known.
	Latency time.Duration
	// MissingSnapshots lists the snapshots that the endpoint recently reported not to hold.
	MissingSnapshots []unit.SnapshotID
}

// candidate is an endpoint that may be queried, with its state.
type candidate struct {
	endpoint catalog.Endpoint
	state    EndpointState
	// tieBreak orders equally good candidates. It is a hash of the request and the endpoint, so that requests spread
	// over them.
	tieBreak uint64
}

// ChoosePlan returns the plan for the request with the given id. Of the newest snapshots of the search it takes the one
// with the largest share of shards that have a replica to query, and of equal ones the newest. Each shard's replicas
// are ordered by preference. The other snapshots with a replica to query become the plan's fallback. The plan's Options
// are left to the caller. ok is false when the search has no snapshot.
func ChoosePlan(
	search *catalog.Search, id unit.RequestID, state func(catalog.Endpoint) EndpointState,
) (plan Plan, ok bool) {
	if len(search.Snapshots) == 0 {
		return Plan{}, false
	}
	byShard, leaving := candidatesByShard(search, id, state)
	snapshots := make([]SnapshotPlan, 0, maxSnapshots)
	for i := len(search.Snapshots) - 1; i >= 0 && len(snapshots) < maxSnapshots; i-- {
		snapshots = append(snapshots, newSnapshotPlan(search.Snapshots[i], byShard, leaving))
	}
	slices.SortStableFunc(snapshots, func(a, b SnapshotPlan) int { return b.queryablePermille() - a.queryablePermille() })
	first := snapshots[0]
	return Plan{Snapshot: first.Snapshot, Shards: first.Shards, Fallback: dropUnqueryable(snapshots[1:])}, true
}

// queryablePermille returns the share of shards that have a replica to query, in thousandths. It rounds down, so that
// only a plan in which every shard has one reaches 1000.
func (v SnapshotPlan) queryablePermille() int {
	if len(v.Shards) == 0 {
		return 0
	}
	n := 0
	for _, s := range v.Shards {
		if len(s.Replicas) > 0 {
			n++
		}
	}
	return 1000 * n / len(v.Shards)
}

// dropUnqueryable returns plans without those in which no shard has a replica to query.
func dropUnqueryable(plans []SnapshotPlan) []SnapshotPlan {
	var kept []SnapshotPlan
	for _, v := range plans {
		if v.queryablePermille() > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}

// candidatesByShard groups the endpoints that may get new work by shard, in order of preference. leaving holds the
// shards that have at least one leaving endpoint.
func candidatesByShard(
	search *catalog.Search, id unit.RequestID, state func(catalog.Endpoint) EndpointState,
) (byShard map[unit.ShardID][]candidate, leaving map[unit.ShardID]bool) {
	byShard = make(map[unit.ShardID][]candidate)
	leaving = make(map[unit.ShardID]bool)
	for _, e := range search.Endpoints {
		c := state(e)
		if c.Leaving || e.Leaving {
			leaving[e.Shard] = true
			continue
		}
		tieBreak := xxhash.Sum64String(string(id) + "/" + string(e.ID))
		byShard[e.Shard] = append(byShard[e.Shard], candidate{endpoint: e, state: c, tieBreak: tieBreak})
	}
	for _, all := range byShard {
		slices.SortFunc(all, compareTieBreaks)
		best := cost(all[0].state)
		for _, c := range all {
			best = min(best, cost(c.state))
		}
		slices.SortStableFunc(all, func(a, b candidate) int { return compareCandidates(a, b, best) })
	}
	promoteOneFailing(byShard)
	return byShard, leaving
}

// promoteOneFailing moves one failing endpoint to the front of its shard's candidates, so that failing endpoints are
// tried again at a cost of at most one retry per query. The tie-break selects the endpoint when several are failing.
func promoteOneFailing(byShard map[unit.ShardID][]candidate) {
	var shard unit.ShardID
	index, tieBreak := 0, uint64(0)
	for id, all := range byShard {
		i := slices.IndexFunc(all, func(c candidate) bool { return c.state.tier() == tierFailing })
		if i > 0 && (index == 0 || all[i].tieBreak < tieBreak) {
			shard, index, tieBreak = id, i, all[i].tieBreak
		}
	}
	if index > 0 {
		all := byShard[shard]
		promoted := all[index]
		copy(all[1:index+1], all[:index])
		all[0] = promoted
	}
}

// The tiers of candidates. Those in a lower tier are queried first.
const (
	tierNormal = iota
	tierFailing
	tierEjected
)

// tier returns the tier of an endpoint in this state; an ejected one is in tierEjected even if it is also failing.
func (c EndpointState) tier() int {
	switch {
	case c.Ejected:
		return tierEjected
	case c.Failing:
		return tierFailing
	default:
		return tierNormal
	}
}

// compareTieBreaks orders candidates by their tie-break, before compareCandidates sorts them stably.
func compareTieBreaks(a, b candidate) int {
	if a.tieBreak < b.tieBreak {
		return -1
	}
	return 1
}

// compareCandidates orders the candidates of one shard, where best is the lowest cost among them. It compares by tier,
// then puts candidates with a cost close to best before the others. Among those close to best, endpoints in the same
// data centre come first; the others are ordered by cost. It returns 0 for candidates that are equally good.
func compareCandidates(a, b candidate, best float64) int {
	if a.state.tier() != b.state.tier() {
		return sortOrder(a.state.tier() < b.state.tier())
	}
	costA, costB := cost(a.state), cost(b.state)
	nearBestA, nearBestB := costA <= similarCostRatio*best, costB <= similarCostRatio*best
	switch {
	case nearBestA != nearBestB:
		return sortOrder(nearBestA)
	case nearBestA && a.state.SameCentre != b.state.SameCentre:
		return sortOrder(a.state.SameCentre)
	case nearBestA || costA == costB:
		return 0
	default:
		return sortOrder(costA < costB)
	}
}

// sortOrder returns the result of a comparison of a and b in which the one or the other comes first.
func sortOrder(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}

// cost returns the latency to expect for one more attempt at an endpoint, in seconds. Each open attempt adds the
// endpoint's latency once more.
func cost(c EndpointState) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = defaultLatency
	}
	return latency.Seconds() * float64(c.OpenAttempts+1)
}

// newSnapshotPlan returns the shards of a snapshot, each with its candidates except those that are known to lack the
// snapshot.
func newSnapshotPlan(
	snapshot catalog.Snapshot, byShard map[unit.ShardID][]candidate, leaving map[unit.ShardID]bool,
) SnapshotPlan {
	v := SnapshotPlan{Snapshot: snapshot.ID, Shards: make([]Shard, 0, len(snapshot.Shards))}
	for _, id := range snapshot.Shards {
		shard := Shard{ID: id, AllLeaving: len(byShard[id]) == 0 && leaving[id]}
		for _, c := range byShard[id] {
			if slices.Contains(c.state.MissingSnapshots, snapshot.ID) {
				continue
			}
			shard.Replicas = append(shard.Replicas, c.endpoint.ID)
			if !c.state.Ejected {
				shard.Healthy++
			}
		}
		v.Shards = append(v.Shards, shard)
	}
	return v
}
