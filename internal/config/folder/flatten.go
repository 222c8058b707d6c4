package folder

import (
	"sort"
	"strconv"
	"strings"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Value is one setting of a configuration: its field path, such as "ranks.desk.urgency", and its value as JSON.
type Value struct {
	Path string
	JSON string
}

// Change is one difference between two configurations. Old or New is empty if only one of them has the setting.
type Change struct {
	Path string
	Old  string
	New  string
}

// Flatten returns all settings of a configuration, defaults included, sorted by path. It returns none for a nil
// catalog.
func Flatten(c *catalog.Catalog) []Value {
	f := &flattener{}
	if c != nil {
		for name, r := range c.Ranks {
			f.addRank("ranks."+string(name), r)
		}
		for name, s := range c.Searches {
			f.addSearch("searches."+string(name), s)
		}
	}
	sort.Slice(f.values, func(i, j int) bool { return f.values[i].Path < f.values[j].Path })
	return f.values
}

// Diff returns the differences between two lists of settings, sorted by path.
func Diff(before, after []Value) []Change {
	old := make(map[string]string, len(before))
	for _, v := range before {
		old[v.Path] = v.JSON
	}
	var all []Change
	for _, v := range after {
		if was, ok := old[v.Path]; !ok || was != v.JSON {
			all = append(all, Change{Path: v.Path, Old: was, New: v.JSON})
		}
		delete(old, v.Path)
	}
	for path, was := range old {
		all = append(all, Change{Path: path, Old: was})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Path < all[j].Path })
	return all
}

// flattener collects the settings of a configuration for Flatten.
type flattener struct {
	values []Value
}

func (f *flattener) addText(path, s string) { f.add(path, strconv.Quote(s)) }

func (f *flattener) addNumber(path string, n int) { f.add(path, strconv.Itoa(n)) }

func (f *flattener) addBool(path string, b bool) { f.add(path, strconv.FormatBool(b)) }

func (f *flattener) addShare(path string, s unit.Share) {
	f.add(path, strconv.FormatFloat(float64(s), 'g', -1, 64))
}

// add appends the setting at path; text is its value as JSON.
func (f *flattener) add(path, text string) {
	f.values = append(f.values, Value{Path: path, JSON: text})
}

// addRank appends the settings of a rank whose path is path. addSearch and addEndpoint do the same for theirs.
func (f *flattener) addRank(path string, r catalog.Rank) {
	f.addNumber(path+".urgency", int(r.Urgency))
	f.addShare(path+".floor", r.Floor)
}

func (f *flattener) addSearch(path string, s *catalog.Search) {
	f.addText(path+".tenant", string(s.Tenant))
	f.addText(path+".aim", string(s.Aim))
	f.addBool(path+".once", s.Once)
	f.addBool(path+".hedge", s.Hedge)
	f.addShare(path+".minimum", s.Minimum)
	for _, snapshot := range s.Snapshots {
		var shards []string
		for _, shard := range snapshot.Shards {
			shards = append(shards, strconv.Quote(string(shard)))
		}
		at := path + ".snapshots." + strconv.FormatUint(uint64(snapshot.ID), 10) + ".shards"
		f.add(at, "["+strings.Join(shards, ", ")+"]")
	}
	for _, e := range s.Endpoints {
		f.addEndpoint(path+".endpoints."+string(e.ID), e)
	}
}

func (f *flattener) addEndpoint(path string, e catalog.Endpoint) {
	f.addText(path+".shard", string(e.Shard))
	f.addText(path+".address", string(e.Address))
	f.addText(path+".centre", string(e.Centre))
	f.addNumber(path+".slots", int(e.Slots))
	f.addNumber(path+".connections", int(e.Connections))
	f.add(path+".incarnation", strconv.FormatUint(uint64(e.Incarnation), 10))
	f.addBool(path+".leaving", e.Leaving)
}
