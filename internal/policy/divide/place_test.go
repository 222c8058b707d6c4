package divide

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
)

// fleet returns n VMs of each of some data centres, in the order of a seed.
func fleet(centres, n int) []Candidate {
	var all []Candidate
	for c := range centres {
		for i := range n {
			all = append(all, Candidate{Node: unit.NodeID(fmt.Sprint("z", c, "-", i)), Centre: centreName(c), Power: 1})
		}
	}
	return all
}

func centreName(n int) unit.CentreName {
	return unit.CentreName(fmt.Sprint("z", n))
}

func shardNames(n int) []unit.ServiceName {
	all := make([]unit.ServiceName, n)
	for i := range all {
		all[i] = unit.ServiceName(fmt.Sprint("s", i))
	}
	return all
}

// replicas returns the data centres of a shard's two endpoints among so many.
func replicas(centres int) func(unit.ServiceName) []unit.CentreName {
	return func(s unit.ServiceName) []unit.CentreName {
		var n int
		_, _ = fmt.Sscanf(string(s), "s%d", &n)
		return []unit.CentreName{centreName(n % centres), centreName((n + 1 + n/centres%(max(centres, 2)-1)) % centres)}
	}
}

// TestPlace checks into how many groups a request is divided in deployments of several sizes, and that each group is
// served by a few VMs.
func TestPlace(t *testing.T) {
	tests := []struct {
		name       string
		shards     int
		candidates []Candidate
		centres    int
		// minGroups and maxGroups bound the number of groups; 0 means that the request is not divided.
		minGroups, maxGroups int
	}{
		{"no VMs known", 87, nil, 6, 0, 0},
		{"six VMs in four data centres", 30, slices.Concat(fleet(4, 1), fleet(2, 1)), 4, 0, 0},
		{"seven VMs in three data centres", 30, append(fleet(3, 2), fleet(1, 3)[2]), 3, 0, 0},
		{"few shards", 20, fleet(4, 6), 4, 0, 0},
		{"59 VMs in three data centres", 90, fleet(3, 12), 3, 3, 7},
		{"88 VMs in four data centres", 90, fleet(4, 9), 4, 4, 8},
		{"88 VMs after a reshard", 135, fleet(4, 9), 4, 7, 10},
		{"195 VMs in six data centres", 87, fleet(6, 6), 6, 6, 8},
		{"one data centre", 90, fleet(1, 36), 1, 6, 6},
		{"more data centres than portions are worth", 30, fleet(9, 6), 9, 2, 4},
		{"1,000 VMs, searches of 160 shards", 160, fleet(9, 6), 9, 9, 14},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			groups := Place(shardNames(tt.shards), replicas(tt.centres), tt.candidates)
			assert.Assert(t, len(groups) >= tt.minGroups && len(groups) <= tt.maxGroups, "%d groups", len(groups))
			for _, g := range groups {
				assert.Assert(t, len(g.VMs) >= minGroupVMs && len(g.VMs) <= groupVMs, "%d VMs", len(g.VMs))
				assert.Assert(t, len(g.Shards) <= 2*targetPortionShards, "%d shards", len(g.Shards))
			}
		})
	}
}

// TestPlaceAtEndpoints checks that every shard is in one group, at a data centre with endpoints of it if that has VMs,
// and that VMs which disagree about a few endpoints agree about all other shards.
func TestPlaceAtEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(2, 6).Draw(t, "centres")
		names := shardNames(rapid.IntRange(24*centres, 200).Draw(t, "shards"))
		candidates := fleet(centres, rapid.IntRange(3, 9).Draw(t, "vms"))
		moved := names[rapid.IntRange(0, len(names)-1).Draw(t, "moved")]
		at := replicas(centres)
		other := func(s unit.ServiceName) []unit.CentreName {
			if s == moved {
				return at(s)[:1]
			}
			return at(s)
		}
		home := make([]unit.CentreName, len(names))
		for _, g := range Place(names, at, candidates) {
			for _, i := range g.Shards {
				if home[i] != "" {
					t.Fatalf("shard %d is in two groups", i)
				}
				home[i] = g.VMs[0].Centre
				if !slices.Contains(at(names[i]), home[i]) {
					t.Fatalf("shard %d is served in %s, its endpoints are in %v", i, home[i], at(names[i]))
				}
			}
		}
		for _, g := range Place(names, other, candidates) {
			for _, i := range g.Shards {
				if names[i] != moved && g.VMs[0].Centre != home[i] {
					t.Fatalf("shard %d moved to %s with an endpoint of another shard", i, g.VMs[0].Centre)
				}
			}
		}
		if i := slices.Index(home, ""); i >= 0 {
			t.Fatalf("shard %d is in no group", i)
		}
	})
}

// TestPlaceWithoutCentre checks that the shards of a data centre that has lost its VMs are served elsewhere.
func TestPlaceWithoutCentre(t *testing.T) {
	names := shardNames(90)
	lost := centreName(0)
	remaining := slices.DeleteFunc(fleet(4, 6), func(c Candidate) bool { return c.Centre == lost })
	n := 0
	for _, g := range Place(names, replicas(4), remaining) {
		n += len(g.Shards)
		for _, vm := range g.VMs {
			assert.Assert(t, vm.Centre != lost)
		}
	}
	assert.Equal(t, n, len(names))
}
