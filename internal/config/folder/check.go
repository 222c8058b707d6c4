package folder

import (
	"net/netip"
	"sort"
	"strconv"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Upper bounds of settings. A larger value is taken for a typing error.
const (
	maxUrgency     = 1000
	maxSlots       = 1024
	maxConnections = 65535
)

// Result is the outcome of Check.
type Result struct {
	// Catalog is nil when there is any error.
	Catalog *catalog.Catalog
	// Problems holds all errors and warnings, sorted by file and line.
	Problems []Problem

	locations *strict.Location
}

// Locate returns the file and line that set the field at path. If no file sets it, ok is false and the location is that
// of the nearest enclosing entry.
func (r Result) Locate(path string) (location Location, ok bool) {
	at, exact := r.locations.Find(path)
	return Location{File: at.File, Line: at.Line}, exact
}

// Errors returns the problems of severity error, which make the configuration invalid.
func (r Result) Errors() []Problem {
	var all []Problem
	for _, p := range r.Problems {
		if p.Severity == SeverityError {
			all = append(all, p)
		}
	}
	return all
}

// Build merges the files in name order and returns the resulting catalog, or nil and the errors if there are any.
// Warnings are left out. The result depends on the files alone, so all entry VMs accept or refuse the same
// configurations.
func Build(files []File) (*catalog.Catalog, []Problem) {
	if built := buildValid(files); built != nil {
		return built, nil
	}
	r := Check(files)
	return r.Catalog, r.Errors()
}

// buildValid returns the catalog of the files, or nil if they have any error. It doesn't record the location of values,
// which takes about half of the time of Check.
func buildValid(files []File) *catalog.Catalog {
	c := &checker{locations: &strict.Location{}, skipLocations: true}
	built := c.catalog(c.merge(files))
	for _, p := range c.problems {
		if p.Severity == SeverityError {
			return nil
		}
	}
	return built
}

// Check does what Build does, and also reports warnings and the location of each value.
func Check(files []File) Result {
	c := &checker{locations: &strict.Location{}}
	merged := c.merge(files)
	built := c.catalog(merged)
	r := Result{Catalog: built, Problems: c.problems, locations: c.locations}
	sort.SliceStable(r.Problems, func(i, j int) bool {
		a, b := r.Problems[i], r.Problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	if len(r.Errors()) > 0 {
		r.Catalog = nil
	}
	return r
}

// Location is the file and line that a value comes from.
type Location struct {
	File string
	Line int
}

// checker builds a catalog from the merged files and collects all problems that it finds.
type checker struct {
	problems  []Problem
	locations *strict.Location
	// incomplete is set when a file is not valid JSON. Missing settings are not reported then, since that file may hold
	// them.
	incomplete bool
	// skipLocations turns off recording the location of values, and the warnings about useless nulls.
	skipLocations bool
}

// merge decodes the files in name order; the settings of each file override those of the files before it. It reports
// the problems of each file, conflicts between files, and a total size over MaxBytes.
func (c *checker) merge(files []File) wireFile {
	var merged wireFile
	size := 0
	last := ""
	for i, f := range sortedByName(files) {
		size += len(f.Name) + len(f.Content)
		if i > 0 && f.Name == last {
			c.problems = append(c.problems, Problem{File: f.Name, Text: "the folder has two files of this name"})
		}
		last = f.Name
		one := decode(f, c.skipLocations)
		for _, p := range one.Problems {
			c.problems = append(c.problems, Problem{File: f.Name, Line: p.Line, Field: p.Field, Text: p.Text})
		}
		c.incomplete = c.incomplete || one.InvalidJSON
		c.checkTenants(merged, one)
		if !c.skipLocations {
			c.warnUselessRemovals(merged, one)
		}
		mergeFile(&merged, one.wire)
		if !c.skipLocations {
			c.locations.Merge(one.Location)
		}
	}
	if size > MaxBytes {
		text := "all files together have " + strconv.Itoa(size) + " bytes; at most " + strconv.Itoa(MaxBytes) + " are allowed"
		c.problems = append(c.problems, Problem{Text: text})
	}
	return merged
}

// checkTenants reports each search for which the later file sets another tenant than an earlier file.
func (c *checker) checkTenants(merged wireFile, later decoded) {
	for _, name := range sortedKeys(later.wire.Searches) {
		before, after := merged.Searches[name], later.wire.Searches[name]
		if before == nil || after == nil || before.Tenant == nil || after.Tenant == nil {
			continue
		}
		if *before.Tenant != *after.Tenant {
			path := "searches." + name + ".tenant"
			from, _ := c.locations.Find(path)
			at, _ := later.Location.Find(path)
			text := "must be the same in all files; it is " + strconv.Quote(*before.Tenant) + " in " + from.File
			c.problems = append(c.problems, Problem{File: at.File, Line: at.Line, Field: path, Text: text})
		}
	}
}

// warnUselessRemovals warns of each null in the later file whose entry no earlier file has.
func (c *checker) warnUselessRemovals(merged wireFile, later decoded) {
	for _, name := range sortedKeys(later.wire.Ranks) {
		c.warnUselessRemoval(later, "ranks."+name, later.wire.Ranks[name] == nil && merged.Ranks[name] == nil)
	}
	for _, name := range sortedKeys(later.wire.Searches) {
		before, after := merged.Searches[name], later.wire.Searches[name]
		c.warnUselessRemoval(later, "searches."+name, before == nil && after == nil)
		if after == nil {
			continue
		}
		if before == nil {
			before = &wireSearch{}
		}
		for _, id := range sortedKeys(after.Snapshots) {
			useless := after.Snapshots[id] == nil && before.Snapshots[id] == nil
			c.warnUselessRemoval(later, "searches."+name+".snapshots."+id, useless)
		}
		for _, id := range sortedKeys(after.Endpoints) {
			useless := after.Endpoints[id] == nil && before.Endpoints[id] == nil
			c.warnUselessRemoval(later, "searches."+name+".endpoints."+id, useless)
		}
	}
}

// warnUselessRemoval reports the warning for the null at path if useless is set.
func (c *checker) warnUselessRemoval(later decoded, path string, useless bool) {
	if !useless {
		return
	}
	at, _ := later.Location.Find(path)
	c.problems = append(c.problems, Problem{
		Severity: SeverityWarning, File: at.File, Line: at.Line, Field: path,
		Text: "null has no effect: no earlier file has this entry",
	})
}

// addError reports an error at path, unless report drops it.
func (c *checker) addError(path, text string) { c.report(SeverityError, path, text) }

// addWarning reports a warning at path, unless report drops it.
func (c *checker) addWarning(path, text string) { c.report(SeverityWarning, path, text) }

// addMissing reports an error for a setting that no file has. It reports nothing if a file was not valid JSON, since
// the setting may be in that file.
func (c *checker) addMissing(path, text string) {
	if !c.incomplete {
		c.report(SeverityError, path, text)
	}
}

// report adds a problem at path. It drops the problem if the value is already known to be invalid, since the problem
// follows from the first one.
func (c *checker) report(severity Severity, path, text string) {
	at, _ := c.locations.Find(path)
	if at.Invalid {
		return
	}
	c.problems = append(c.problems, Problem{
		Severity: severity, File: at.File, Line: at.Line, Field: path, Text: text,
	})
}

// isInvalid reports whether decoding already found a problem with the value at path.
func (c *checker) isInvalid(path string) bool {
	at, _ := c.locations.Find(path)
	return at.Invalid
}

// catalog converts the merged files to a catalog and checks every value. It returns a catalog even if it reports
// errors; Check and buildValid discard it then.
func (c *checker) catalog(f wireFile) *catalog.Catalog {
	built := &catalog.Catalog{
		Ranks:    c.ranks(f.Ranks),
		Searches: make(map[unit.SearchName]*catalog.Search),
	}
	if len(f.Searches) == 0 {
		c.addMissing("searches", "at least one search must be configured")
	}
	for _, name := range sortedKeys(f.Searches) {
		built.Searches[unit.SearchName(name)] = c.search("searches."+name, name, f.Searches[name])
	}
	c.checkUnique(built)
	return built
}

// ranks converts and checks all ranks, the priority classes of queries. Their urgencies must differ and their floors
// must not add up to more than 1.
func (c *checker) ranks(wire map[string]*wireRank) map[unit.RankName]catalog.Rank {
	all := make(map[unit.RankName]catalog.Rank, len(wire))
	if len(wire) == 0 {
		c.addMissing("ranks", "at least one rank must be configured")
	}
	floors := 0.0
	byUrgency := make(map[unit.Urgency]string)
	for _, name := range sortedKeys(wire) {
		rank := c.rank("ranks."+name, name, wire[name])
		floors += float64(rank.Floor)
		if other, ok := byUrgency[rank.Urgency]; ok && rank.Urgency > 0 {
			c.addError("ranks."+name+".urgency", "rank "+strconv.Quote(other)+" has the same urgency; each rank needs its own")
		}
		byUrgency[rank.Urgency] = name
		all[rank.Name] = rank
	}
	// The tolerance covers rounding: the sum of shares such as 0.7, 0.2 and 0.1 can be slightly over 1.
	if floors > 1+1e-9 {
		c.addError("ranks",
			"the floors of the ranks add up to "+strconv.FormatFloat(floors, 'g', 6, 64)+"; at most 1 is allowed")
	}
	return all
}

// rank converts and checks one rank. It reports a missing urgency; the floor is 0 by default.
func (c *checker) rank(path, name string, w *wireRank) catalog.Rank {
	rank := catalog.Rank{Name: unit.RankName(name), Floor: c.share(path+".floor", w.Floor)}
	if w.Urgency == nil {
		c.addMissing(path+".urgency", "is missing; 1 is the most urgent")
		return rank
	}
	rank.Urgency = unit.Urgency(c.count(path+".urgency", w.Urgency, maxUrgency))
	return rank
}

// count returns a required whole number from 1 to limit. It reports a missing or other value and returns 0.
func (c *checker) count(path string, w *int, limit int) int {
	if w == nil {
		c.addMissing(path, "is missing")
		return 0
	}
	if *w < 1 || *w > limit {
		c.addError(path, "must be from 1 to "+strconv.Itoa(limit)+", not "+strconv.Itoa(*w))
		return 0
	}
	return *w
}

// share returns an optional share from 0 to 1, 0 by default. It reports a value out of range and returns 0.
func (c *checker) share(path string, w *float64) unit.Share {
	if w == nil {
		return 0
	}
	if *w < 0 || *w > 1 {
		c.addError(path, "must be a share from 0 to 1, not "+strconv.FormatFloat(*w, 'g', 6, 64))
		return 0
	}
	return unit.Share(*w)
}

// address returns a required IP address and port, in normal form. It reports a missing or malformed one and returns "".
func (c *checker) address(path string, w *string) unit.Address {
	if w == nil {
		c.addMissing(path, "is missing")
		return ""
	}
	parsed, err := netip.ParseAddrPort(*w)
	if err != nil || parsed.Port() == 0 {
		c.addError(path, `must be an IP number and port, such as "10.0.0.7:8080", not `+strconv.Quote(*w))
		return ""
	}
	return unit.Address(netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String())
}

// sortedKeys returns the keys of a map in ascending order, so that problems come in the same order each time.
func sortedKeys[T any](m map[string]T) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
