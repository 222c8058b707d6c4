// Package place decides which entry VM owns an endpoint: the only one that calls it while all views agree. Every VM
// decides from its own view, by rendezvous hashing, so no VM has to be told.
package place

import (
	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
)

// Owner gives the owner of an endpoint among the usable live members: one of the endpoint's own data centre when
// there is any, and there the one with the highest score. When it is lost, the one with the next score follows, and
// no other endpoint changes its owner. ok is false when no member is usable.
func Owner(members []member.Member, e catalog.Endpoint, usable func(m member.Member) bool) (owner member.Member, ok bool) {
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

// Score gives the rendezvous score of a VM for an endpoint.
func Score(node unit.NodeID, id unit.EndpointID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(node))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// preferred says whether a, with its score, is placed before b.
func preferred(a member.Member, scoreA uint64, b member.Member, scoreB uint64, centre unit.CentreName) bool {
	nearA, nearB := a.Centre == centre, b.Centre == centre
	if nearA != nearB {
		return nearA
	}
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.ID < b.ID
}

// CountLive counts the live members.
func CountLive(members []member.Member) int {
	n := 0
	for _, m := range members {
		if m.State == member.StateLive {
			n++
		}
	}
	return n
}
