package fanout

import (
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Condition is what an entry VM knows of an endpoint from its own calls and from its peers.
type Condition struct {
	// Leaving endpoints get no new work.
	Leaving bool
	// Ejected endpoints are asked last.
	Ejected bool
	// Near is true for endpoints in the entry VM's own data centre.
	Near bool
	// Busy is how many attempts this entry VM has open there.
	Busy int
}

// Choose makes the plan for a search: its newest snapshot, that snapshot's shards, and each shard's replicas in the
// order in which they are asked. ok is false when the search has no snapshot.
func Choose(search *catalog.Search, condition func(catalog.Endpoint) Condition) (plan Plan, ok bool) {
	snapshot, ok := search.Newest()
	if !ok {
		return Plan{}, false
	}
	plan = Plan{Snapshot: snapshot.ID, Shards: make([]Shard, 0, len(snapshot.Shards))}
	for _, id := range snapshot.Shards {
		shard := Shard{ID: id, Replicas: order(search.Replicas(id), condition)}
		plan.Shards = append(plan.Shards, shard)
	}
	return plan, true
}

// order sorts replicas: not ejected before ejected, then the less busy, then the nearer; leaving ones are left out.
func order(replicas []catalog.Endpoint, condition func(catalog.Endpoint) Condition) []unit.EndpointID {
	var ids []unit.EndpointID
	var conditions []Condition
	for _, e := range replicas {
		c := condition(e)
		if c.Leaving || e.Leaving {
			continue
		}
		at := len(ids)
		for at > 0 && before(c, conditions[at-1]) {
			at--
		}
		ids = append(ids, "")
		conditions = append(conditions, Condition{})
		copy(ids[at+1:], ids[at:])
		copy(conditions[at+1:], conditions[at:])
		ids[at] = e.ID
		conditions[at] = c
	}
	return ids
}

// before says whether a is to be asked before b.
func before(a, b Condition) bool {
	if a.Ejected != b.Ejected {
		return b.Ejected
	}
	if a.Busy != b.Busy {
		return a.Busy < b.Busy
	}
	return a.Near && !b.Near
}
