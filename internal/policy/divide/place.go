package divide

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
)

const (
	// minPortionShards is the minimum mean number of shards of a portion. With fewer, calling another VM costs as much
	// as it saves.
	minPortionShards = 12
	// targetPortionShards is the number of shards of a portion that a data centre's shards are divided by. A few
	// VMs that serve many shards each know the endpoints well; more shards take one processor too long.
	targetPortionShards = 16
	// groupVMs is the number of VMs that serve a group. With three, the group survives the loss of one while another
	// is excluded, and each of them still sees a large part of the requests to its endpoints.
	groupVMs = 3
	// minGroupVMs is the number of VMs that a group needs if a data centre has several, so that it survives the loss
	// of one.
	minGroupVMs = 2
	// minCentreVMs is the number of VMs from which on a data centre serves portions. Smaller ones are in fleets
	// whose VMs each see enough requests to know all endpoints.
	minCentreVMs = groupVMs
)

// Group is some of the shards of a route, by their indexes, and the VMs that serve them.
type Group struct {
	Shards []int
	VMs    []Candidate
}

// Place divides the shards of a route into groups. A shard belongs to a data centre that has endpoints of it, so that a
// request crosses to another data centre once for a group and not once for each of its shards, and is served there by the
// same few VMs for all requests, which keep few connections and know their endpoints well. Place returns nil if the
// request should not be divided.
//
// centres returns the data centres that have endpoints of a shard. The candidates must be in the same order on every
// VM. VMs that know other candidates or endpoints place some shards elsewhere; the group's VMs serve what they are
// asked for, so that this costs connections and no answers.
func Place(
	shards []unit.ServiceName, centres func(unit.ServiceName) []unit.CentreName, candidates []Candidate,
) []Group {
	vms := servingCentres(candidates, len(shards)/minPortionShards)
	if len(vms) == 0 {
		return nil
	}
	homes := make(map[unit.CentreName][]int, len(vms))
	for i, s := range shards {
		home := chooseHome(s, centres(s), vms)
		homes[home] = append(homes[home], i)
	}
	var groups []Group
	for _, centre := range sortedCentres(vms) {
		groups = append(groups, divideCentre(homes[centre], vms[centre])...)
	}
	if len(groups) < 2 {
		return nil
	}
	return groups
}

// servingCentres returns the candidates of each data centre that serves portions, of at most that many.
func servingCentres(candidates []Candidate, limit int) map[unit.CentreName][]Candidate {
	vms := make(map[unit.CentreName][]Candidate)
	for _, c := range candidates {
		vms[c.Centre] = append(vms[c.Centre], c)
	}
	for centre, all := range vms {
		if len(all) < minCentreVMs {
			delete(vms, centre)
		}
	}
	ordered := sortedCentres(vms)
	for len(ordered) > limit {
		delete(vms, ordered[len(ordered)-1])
		ordered = ordered[:len(ordered)-1]
	}
	return vms
}

// sortedCentres returns the data centres in an order by hash.
func sortedCentres(vms map[unit.CentreName][]Candidate) []unit.CentreName {
	all := make([]unit.CentreName, 0, len(vms))
	for centre := range vms {
		all = append(all, centre)
	}
	slices.SortFunc(all, func(a, b unit.CentreName) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return all
}

// chooseHome returns the data centre that serves a shard: by rendezvous hashing among those that have endpoints of it
// or, if none of them has VMs to serve it, among all. When endpoints come or go, only their own shards move.
func chooseHome(
	shard unit.ServiceName, centres []unit.CentreName, vms map[unit.CentreName][]Candidate,
) unit.CentreName {
	home, highest := unit.CentreName(""), uint64(0)
	consider := func(centre unit.CentreName) {
		if h := xxhash.Sum64String(string(shard) + "/" + string(centre)); home == "" || h > highest {
			home, highest = centre, h
		}
	}
	for _, centre := range centres {
		if len(vms[centre]) > 0 {
			consider(centre)
		}
	}
	if home == "" {
		for centre := range vms {
			consider(centre)
		}
	}
	return home
}

// divideCentre divides the shards of one data centre among its VMs.
func divideCentre(shards []int, vms []Candidate) []Group {
	if len(shards) == 0 {
		return nil
	}
	n := (len(shards) + targetPortionShards/2) / targetPortionShards
	n = max(1, min(n, len(vms)/minGroupVMs))
	groups := make([]Group, n)
	for g := range groups {
		groups[g].Shards = shards[g*len(shards)/n : (g+1)*len(shards)/n]
		for i := g; i < len(vms) && len(groups[g].VMs) < groupVMs; i += n {
			groups[g].VMs = append(groups[g].VMs, vms[i])
		}
	}
	return groups
}
