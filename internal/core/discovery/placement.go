package discovery

import (
	"slices"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/divide"
)

// Place decides which VMs serve the shards of a complete view's routes, as the VM self sees it. It is called before the
// view is published.
func (v *View) Place(self unit.NodeID) {
	p := placement{groups: make(map[unit.RouteName][]divide.Group), vms: make(map[unit.ServiceName]int)}
	centres := make(map[unit.ServiceName][]unit.CentreName)
	centresOf := func(service unit.ServiceName) []unit.CentreName {
		all, ok := centres[service]
		if !ok {
			all = endpointCentres(v, service)
			centres[service] = all
		}
		return all
	}
	for _, r := range v.Table.Routes() {
		if !r.Gathers() {
			continue
		}
		groups := divide.Place(r.Shards, centresOf, v.Candidates)
		if groups == nil {
			p.addVMs(r.Shards, v.VMs)
			continue
		}
		p.groups[r.Name] = groups
		for _, g := range groups {
			if !slices.ContainsFunc(g.VMs, func(c divide.Candidate) bool { return c.Node == self }) {
				continue
			}
			for _, shard := range g.Shards {
				p.addVMs(r.Shards[shard:shard+1], len(g.VMs))
			}
		}
	}
	v.placement = p
}

// addVMs records that this VM is one of n that use the endpoints of these services.
func (p *placement) addVMs(services []unit.ServiceName, n int) {
	for _, s := range services {
		p.vms[s] = max(p.vms[s], n)
	}
}

// endpointCentres returns the data centres that have endpoints of a service which are registered.
func endpointCentres(v *View, service unit.ServiceName) []unit.CentreName {
	var all []unit.CentreName
	for _, e := range v.Endpoints[service] {
		if !e.Lapsed && !slices.Contains(all, e.Centre) {
			all = append(all, e.Centre)
		}
	}
	return all
}
