package fanout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// maxSnapshots is how many snapshots one query may try.
	maxSnapshots = 3
	// similarCostRatio is the ratio of costs up to which two replicas count as equally good.
	similarCostRatio = 1.5
	// defaultLatency stands for the latency of an endpoint that has not answered yet.
	defaultLatency = 5 * time.Millisecond
)

// EndpointState is what an entry VM knows of an endpoint from its own calls and from its peers.
type EndpointState struct {
	// Leaving endpoints get no new work.
	Leaving bool
	// Ejected endpoints are asked last.
	Ejected bool
	// Failing endpoints have failed and not answered since; a query tries one of them first.
	Failing bool
	// SameCentre is true for endpoints in the entry VM's own data centre.
	SameCentre bool
	// OpenAttempts is how many attempts this entry VM has open there.
	OpenAttempts int
	// Latency is the recent latency of its replies; 0 means that there is none.
	Latency time.Duration
	// MissingSnapshots are the snapshots that it has lately said it does not hold.
	MissingSnapshots []unit.SnapshotID
}

// candidate is an endpoint that may be asked, with its condition.
type candidate struct {
	endpoint catalog.Endpoint
	state    EndpointState
	// tieBreak orders candidates that are equally good, differently for each request.
	tieBreak uint64
}

// ChoosePlan makes the plan for a request: the snapshot of which most shards can be asked and of those the newest, that
// snapshot's shards, and each shard's replicas in the order in which they are asked. The other snapshots that can be
// asked as well become the plan's fallback. ok is false when the search has no snapshot.
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

// queryablePermille gives the share of the shards that can be asked, in thousandths rounded down; only a whole version has 1000.
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

// dropUnqueryable leaves out the versions of which no shard can be asked.
func dropUnqueryable(plans []SnapshotPlan) []SnapshotPlan {
	var kept []SnapshotPlan
	for _, v := range plans {
		if v.queryablePermille() > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}

// candidatesByShard groups the endpoints that may get work by shard, the best first, and gives the shards with an endpoint
// that is leaving.
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

// promoteOneFailing puts one doubtful endpoint before a sound one of its shard, so that doubtful ones are tried again at the cost of
// at most one retry a query.
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

// The ranks of candidates; a lower one is asked first.
const (
	tierNormal = iota
	tierFailing
	tierEjected
)

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

func compareTieBreaks(a, b candidate) int {
	if a.tieBreak < b.tieBreak {
		return -1
	}
	return 1
}

// compareCandidates orders the candidates of one shard: sound before doubtful before ejected; then those with a cost alike to the
// best one, the near before the far; then by cost.
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

func sortOrder(aFirst bool) int {
	if aFirst {
		return -1
	}
	return 1
}

// cost is the latency that a further attempt may expect, in seconds.
func cost(c EndpointState) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = defaultLatency
	}
	return latency.Seconds() * float64(c.OpenAttempts+1)
}

// newSnapshotPlan gives a snapshot's shards with the replicas that are not known to lack it.
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
