// Package ownership assigns each endpoint to an owner, the only entry VM that calls it while all VMs have the same
// view. Every VM computes the owner from its own view by rendezvous hashing, without communication.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
)

// Owner returns the owner of an endpoint among the usable live members: the one with the highest score in the
// endpoint's data centre or, if there is none, in any other. When the owner is lost, the member with the next score
// takes over, and no other endpoint changes its owner. ok is false when no member is usable.
func Owner(
	members []member.Member, e catalog.Endpoint, usable func(m member.Member) bool,
) (owner member.Member, ok bool) {
	var best uint64
	for _, m := range members {
		if m.State != member.StateLive || !usable(m) {
			continue
		}
		score := Score(m.ID, e.ID)
		if !ok || preferred(m, score, owner, best, e.Centre) {
			owner, best, ok = m, score, true
		}
	}
	return owner, ok
}

// Score returns the rendezvous hashing score of a VM for an endpoint, which is the same on every VM.
func Score(node unit.NodeID, id unit.EndpointID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(node))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// preferred reports whether a is preferred to b as the owner of an endpoint in that data centre: a VM of that data
// centre first, then the higher score, then the lower id.
func preferred(a member.Member, scoreA uint64, b member.Member, scoreB uint64, centre unit.CentreName) bool {
	sameCentreA, sameCentreB := a.Centre == centre, b.Centre == centre
	if sameCentreA != sameCentreB {
		return sameCentreA
	}
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.ID < b.ID
}

// CountLive returns the number of live members.
func CountLive(members []member.Member) int {
	n := 0
	for _, m := range members {
		if m.State == member.StateLive {
			n++
		}
	}
	return n
}
