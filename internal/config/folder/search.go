package folder

import (
	"sort"
	"strconv"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// search converts and checks one search with its snapshots and endpoints.
func (c *checker) search(path, name string, w *wireSearch) *catalog.Search {
	s := &catalog.Search{
		Name:      unit.SearchName(name),
		Tenant:    unit.TenantName(c.name(path+".tenant", w.Tenant)),
		Aim:       c.aim(path+".aim", w.Aim),
		Once:      valueOrZero(w.Once),
		Hedge:     valueOrZero(w.Hedge),
		Minimum:   c.share(path+".minimum", w.Minimum),
		Snapshots: c.snapshots(path+".snapshots", w.Snapshots),
	}
	for _, id := range sortedKeys(w.Endpoints) {
		s.Endpoints = append(s.Endpoints, c.endpoint(path+".endpoints."+id, id, w.Endpoints[id]))
	}
	if s.Once && s.Hedge {
		c.addWarning(path+".hedge", `has no effect, since "once" is true`)
	}
	c.checkShards(path, s)
	return s
}

// name checks an optional name and returns it, or "" if it is not set.
func (c *checker) name(path string, w *string) string {
	if w != nil && strict.NameProblem(*w) != "" {
		c.addError(path, strict.NameRule)
	}
	return valueOrZero(w)
}

// aim returns the required aim of a search, and reports a missing or unknown one.
func (c *checker) aim(path string, w *string) catalog.Aim {
	if w == nil {
		c.addMissing(path, `is missing; it must be "latency" or "coverage"`)
		return ""
	}
	aim := catalog.Aim(*w)
	if aim != catalog.AimLatency && aim != catalog.AimCoverage {
		c.addError(path, `must be "latency" or "coverage", not `+strconv.Quote(*w))
	}
	return aim
}

// snapshots converts and checks the snapshots of a search and returns them sorted by id. It reports and leaves out
// those whose id is not a whole number from 1.
func (c *checker) snapshots(path string, wire map[string]*wireSnapshot) []catalog.Snapshot {
	var all []catalog.Snapshot
	for _, id := range sortedKeys(wire) {
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil || n == 0 || strconv.FormatUint(n, 10) != id {
			c.addError(path+"."+id, "the snapshot id must be a whole number from 1, without leading zeros")
			continue
		}
		snapshot := catalog.Snapshot{ID: unit.SnapshotID(n)}
		for _, shard := range wire[id].Shards {
			snapshot.Shards = append(snapshot.Shards, unit.ShardID(shard))
		}
		if len(snapshot.Shards) == 0 {
			c.addWarning(path+"."+id+".shards", "the snapshot has no shards; its answers are empty")
		}
		all = append(all, snapshot)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// endpoint converts and checks one endpoint.
func (c *checker) endpoint(path, id string, w *wireEndpoint) catalog.Endpoint {
	e := catalog.Endpoint{
		ID:          unit.EndpointID(id),
		Shard:       unit.ShardID(c.name(path+".shard", w.Shard)),
		Address:     c.address(path+".address", w.Address),
		Centre:      unit.CentreName(c.name(path+".centre", w.Centre)),
		Slots:       unit.Slots(c.count(path+".slots", w.Slots, maxSlots)),
		Connections: unit.Connections(c.count(path+".connections", w.Connections, maxConnections)),
		Incarnation: c.incarnation(path+".incarnation", w.Incarnation),
		Leaving:     valueOrZero(w.Leaving),
	}
	if w.Shard == nil {
		c.addMissing(path+".shard", "is missing")
	}
	if e.Connections > 0 && int(e.Connections) < int(e.Slots) {
		c.addWarning(path+".connections", "fewer connections than slots leave slots unused")
	}
	return e
}

// incarnation returns the number of an endpoint's incarnation, 0 for the first one and by default.
func (c *checker) incarnation(path string, w *int) unit.Incarnation {
	if valueOrZero(w) < 0 {
		c.addError(path, "must be at least 0, not "+strconv.Itoa(*w))
		return 0
	}
	return unit.Incarnation(valueOrZero(w))
}

// checkShards warns if the search has no snapshot, if every endpoint of a shard is missing or leaving, and if an
// endpoint's shard is in no snapshot. These are not errors: operators change the partitioning one small file at a time,
// which leads to such states in between, and responses report the lower coverage. The checks are skipped if a file is
// not valid JSON, since it may hold what is missing.
func (c *checker) checkShards(path string, s *catalog.Search) {
	if c.incomplete {
		return
	}
	if len(s.Snapshots) == 0 {
		c.addWarning(path+".snapshots", "the search has no snapshot; every query gets code 209")
	}
	serving, leaving := make(map[unit.ShardID]bool), make(map[unit.ShardID]bool)
	for _, e := range s.Endpoints {
		serving[e.Shard] = serving[e.Shard] || !e.Leaving
		leaving[e.Shard] = true
	}
	// listed has the shards of all snapshots; it may lack some if a list is invalid.
	listed, listInvalid := make(map[unit.ShardID]bool), false
	for _, snapshot := range s.Snapshots {
		at := path + ".snapshots." + strconv.FormatUint(uint64(snapshot.ID), 10) + ".shards"
		listInvalid = listInvalid || c.isInvalid(at)
		for _, shard := range snapshot.Shards {
			listed[shard] = true
			switch {
			case serving[shard]:
			case leaving[shard]:
				c.addWarning(at,
					"every endpoint of shard "+strconv.Quote(string(shard))+" is leaving; answers will lack this shard")
			default:
				c.addWarning(at, "shard "+strconv.Quote(string(shard))+" has no endpoint; answers will lack this shard")
			}
		}
	}
	for _, e := range s.Endpoints {
		if !listed[e.Shard] && e.Shard != "" && !listInvalid {
			at := path + ".endpoints." + string(e.ID) + ".shard"
			c.addWarning(at, "shard "+strconv.Quote(string(e.Shard))+" is in no snapshot; the endpoint gets no work")
		}
	}
}

// checkUnique reports endpoints, of all searches, that share an address or an id.
func (c *checker) checkUnique(built *catalog.Catalog) {
	byAddress := make(map[unit.Address]string)
	byID := make(map[unit.EndpointID]string)
	searches := make([]string, 0, len(built.Searches))
	for name := range built.Searches {
		searches = append(searches, string(name))
	}
	sort.Strings(searches)
	for _, name := range searches {
		for _, e := range built.Searches[unit.SearchName(name)].Endpoints {
			path := "searches." + name + ".endpoints." + string(e.ID)
			if other, ok := byAddress[e.Address]; ok && e.Address != "" {
				c.addError(path+".address", "is the address of "+other+" too")
			}
			if other, ok := byID[e.ID]; ok {
				c.addError(path, "has the id of "+other+"; an endpoint's id is unique in the folder")
			}
			byAddress[e.Address], byID[e.ID] = path, path
		}
	}
}
