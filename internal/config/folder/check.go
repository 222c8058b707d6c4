package folder

import (
	"net/netip"
	"sort"
	"strconv"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// checker builds a catalog from merged files and collects every problem on the way.
type checker struct {
	problems []Problem
}

// Build merges the files in name order and checks the result. The catalog is nil when there is any problem.
func Build(files []File) (*catalog.Catalog, []Problem) {
	c := &checker{}
	var merged wireFile
	size := 0
	for _, f := range byName(files) {
		size += len(f.Content)
		one, err := decode(f.Content)
		if err != nil {
			c.problems = append(c.problems, Problem{File: f.Name, Text: err.Error()})
			continue
		}
		mergeFile(&merged, one)
	}
	if size > MaxBytes {
		c.add("", "all files together are over "+strconv.Itoa(MaxBytes)+" bytes")
	}
	built := c.catalog(merged)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return built, nil
}

func (c *checker) add(field, text string) {
	c.problems = append(c.problems, Problem{Field: field, Text: text})
}

func (c *checker) catalog(f wireFile) *catalog.Catalog {
	built := &catalog.Catalog{
		Ranks:    make(map[unit.RankName]catalog.Rank),
		Searches: make(map[unit.SearchName]*catalog.Search),
	}
	floors := 0.0
	for _, name := range names(f.Ranks) {
		rank := c.rank("ranks."+name, name, f.Ranks[name])
		floors += float64(rank.Floor)
		built.Ranks[rank.Name] = rank
	}
	if floors > 1 {
		c.add("ranks", "the floors add up to more than 1")
	}
	for _, name := range names(f.Searches) {
		built.Searches[unit.SearchName(name)] = c.search("searches."+name, name, f.Searches[name])
	}
	return built
}

func (c *checker) rank(field, name string, w *wireRank) catalog.Rank {
	rank := catalog.Rank{Name: unit.RankName(name)}
	if w.Urgency == nil || *w.Urgency < 1 {
		c.add(field+".urgency", "must be at least 1")
	} else {
		rank.Urgency = unit.Urgency(*w.Urgency)
	}
	rank.Floor = c.share(field+".floor", w.Floor)
	return rank
}

func (c *checker) search(field, name string, w *wireSearch) *catalog.Search {
	s := &catalog.Search{
		Name:    unit.SearchName(name),
		Tenant:  unit.TenantName(value(w.Tenant)),
		Aim:     catalog.Aim(value(w.Aim)),
		Once:    value(w.Once),
		Hedge:   value(w.Hedge),
		Minimum: c.share(field+".minimum", w.Minimum),
	}
	if s.Aim != catalog.AimLatency && s.Aim != catalog.AimCoverage {
		c.add(field+".aim", `must be "latency" or "coverage"`)
	}
	for _, id := range names(w.Snapshots) {
		n, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			c.add(field+".snapshots."+id, "must be a whole number")
		}
		snapshot := catalog.Snapshot{ID: unit.SnapshotID(n)}
		for _, shard := range w.Snapshots[id].Shards {
			snapshot.Shards = append(snapshot.Shards, unit.ShardID(shard))
		}
		s.Snapshots = append(s.Snapshots, snapshot)
	}
	sort.Slice(s.Snapshots, func(i, j int) bool { return s.Snapshots[i].ID < s.Snapshots[j].ID })
	for _, id := range names(w.Endpoints) {
		s.Endpoints = append(s.Endpoints, c.endpoint(field+".endpoints."+id, id, w.Endpoints[id]))
	}
	return s
}

func (c *checker) endpoint(field, id string, w *wireEndpoint) catalog.Endpoint {
	e := catalog.Endpoint{
		ID:          unit.EndpointID(id),
		Shard:       unit.ShardID(value(w.Shard)),
		Address:     unit.Address(value(w.Address)),
		Centre:      unit.CentreName(value(w.Centre)),
		Slots:       unit.Slots(value(w.Slots)),
		Connections: unit.Connections(value(w.Connections)),
		Incarnation: unit.Incarnation(value(w.Incarnation)),
		Leaving:     value(w.Leaving),
	}
	if e.Shard == "" {
		c.add(field+".shard", "must name a shard")
	}
	if _, err := netip.ParseAddrPort(string(e.Address)); err != nil {
		c.add(field+".address", `must be an IP number and port, such as "10.0.0.7:8080"`)
	}
	if e.Slots < 1 {
		c.add(field+".slots", "must be at least 1")
	}
	if e.Connections < 1 {
		c.add(field+".connections", "must be at least 1")
	}
	return e
}

func (c *checker) share(field string, w *float64) unit.Share {
	if w == nil {
		return 0
	}
	if *w < 0 || *w > 1 {
		c.add(field, "must be from 0 to 1")
		return 0
	}
	return unit.Share(*w)
}

// names gives the keys of a map in order.
func names[T any](m map[string]T) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// value gives what p points to, or the zero value.
func value[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
