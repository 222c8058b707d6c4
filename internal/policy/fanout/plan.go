package fanout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// maxVersions is how many snapshots one query may try.
	maxVersions = 3
	// alike is the ratio of costs up to which two replicas count as equally good.
	alike = 1.5
	// unmeasured stands for the latency of an endpoint that has not answered yet.
	unmeasured = 5 * time.Millisecond
)

// Condition is what an entry VM knows of an endpoint from its own calls and from its peers.
type Condition struct {
	// Leaving endpoints get no new work.
	Leaving bool
	// Ejected endpoints are asked last.
	Ejected bool
	// Doubtful endpoints have failed and not answered since; a query tries one of them first.
	Doubtful bool
	// Near is true for endpoints in the entry VM's own data centre.
	Near bool
	// Busy is how many attempts this entry VM has open there.
	Busy int
	// Latency is the recent latency of its replies; 0 means that there is none.
	Latency time.Duration
	// Lacks are the snapshots that it has lately said it does not hold.
	Lacks []unit.SnapshotID
}

// candidate is an endpoint that may be asked, with its condition.
type candidate struct {
	endpoint  catalog.Endpoint
	condition Condition
	// turn orders candidates that are equally good, differently for each request.
	turn uint64
}

// Choose makes the plan for a request: the snapshot of which most shards can be asked and of those the newest, that
// snapshot's shards, and each shard's replicas in the order in which they are asked. The other snapshots that can be
// asked as well become the plan's fallback. ok is false when the search has no snapshot.
func Choose(
	search *catalog.Search, id unit.RequestID, condition func(catalog.Endpoint) Condition,
) (plan Plan, ok bool) {
	if len(search.Snapshots) == 0 {
		return Plan{}, false
	}
	byShard, leaving := candidates(search, id, condition)
	versions := make([]Version, 0, maxVersions)
	for i := len(search.Snapshots) - 1; i >= 0 && len(versions) < maxVersions; i-- {
		versions = append(versions, version(search.Snapshots[i], byShard, leaving))
	}
	slices.SortStableFunc(versions, func(a, b Version) int { return b.rating() - a.rating() })
	first := versions[0]
	return Plan{Snapshot: first.Snapshot, Shards: first.Shards, Fallback: askable(versions[1:])}, true
}

// rating gives the share of the shards that can be asked, in thousandths rounded down; only a whole version has 1000.
func (v Version) rating() int {
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

// askable leaves out the versions of which no shard can be asked.
func askable(versions []Version) []Version {
	var kept []Version
	for _, v := range versions {
		if v.rating() > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}

// candidates groups the endpoints that may get work by shard, the best first, and gives the shards with an endpoint
// that is leaving.
func candidates(
	search *catalog.Search, id unit.RequestID, condition func(catalog.Endpoint) Condition,
) (byShard map[unit.ShardID][]candidate, leaving map[unit.ShardID]bool) {
	byShard = make(map[unit.ShardID][]candidate)
	leaving = make(map[unit.ShardID]bool)
	for _, e := range search.Endpoints {
		c := condition(e)
		if c.Leaving || e.Leaving {
			leaving[e.Shard] = true
			continue
		}
		turn := xxhash.Sum64String(string(id) + "/" + string(e.ID))
		byShard[e.Shard] = append(byShard[e.Shard], candidate{endpoint: e, condition: c, turn: turn})
	}
	for _, all := range byShard {
		slices.SortFunc(all, byTurn)
		best := cost(all[0].condition)
		for _, c := range all {
			best = min(best, cost(c.condition))
		}
		slices.SortStableFunc(all, func(a, b candidate) int { return compare(a, b, best) })
	}
	try(byShard)
	return byShard, leaving
}

// try puts one doubtful endpoint before a sound one of its shard, so that doubtful ones are tried again at the cost of
// at most one retry a query.
func try(byShard map[unit.ShardID][]candidate) {
	var shard unit.ShardID
	at, turn := 0, uint64(0)
	for id, all := range byShard {
		i := slices.IndexFunc(all, func(c candidate) bool { return c.condition.rank() == rankDoubtful })
		if i > 0 && (at == 0 || all[i].turn < turn) {
			shard, at, turn = id, i, all[i].turn
		}
	}
	if at > 0 {
		all := byShard[shard]
		tried := all[at]
		copy(all[1:at+1], all[:at])
		all[0] = tried
	}
}

// The ranks of candidates; a lower one is asked first.
const (
	rankSound = iota
	rankDoubtful
	rankEjected
)

func (c Condition) rank() int {
	switch {
	case c.Ejected:
		return rankEjected
	case c.Doubtful:
		return rankDoubtful
	default:
		return rankSound
	}
}

func byTurn(a, b candidate) int {
	if a.turn < b.turn {
		return -1
	}
	return 1
}

// compare orders the candidates of one shard: sound before doubtful before ejected; then those with a cost alike to the
// best one, the near before the far; then by cost.
func compare(a, b candidate, best float64) int {
	if a.condition.rank() != b.condition.rank() {
		return order(a.condition.rank() < b.condition.rank())
	}
	costA, costB := cost(a.condition), cost(b.condition)
	goodA, goodB := costA <= alike*best, costB <= alike*best
	switch {
	case goodA != goodB:
		return order(goodA)
	case goodA && a.condition.Near != b.condition.Near:
		return order(a.condition.Near)
	case goodA || costA == costB:
		return 0
	default:
		return order(costA < costB)
	}
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

// cost is the latency that a further attempt may expect, in seconds.
func cost(c Condition) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = unmeasured
	}
	return latency.Seconds() * float64(c.Busy+1)
}

// version gives a snapshot's shards with the replicas that are not known to lack it.
func version(
	snapshot catalog.Snapshot, byShard map[unit.ShardID][]candidate, leaving map[unit.ShardID]bool,
) Version {
	v := Version{Snapshot: snapshot.ID, Shards: make([]Shard, 0, len(snapshot.Shards))}
	for _, id := range snapshot.Shards {
		shard := Shard{ID: id, Leaving: len(byShard[id]) == 0 && leaving[id]}
		for _, c := range byShard[id] {
			if slices.Contains(c.condition.Lacks, snapshot.ID) {
				continue
			}
			shard.Replicas = append(shard.Replicas, c.endpoint.ID)
			if !c.condition.Ejected {
				shard.Healthy++
			}
		}
		v.Shards = append(v.Shards, shard)
	}
	return v
}
