package folder

import (
	"net/netip"
	"sort"
	"strconv"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// The bounds of values; a value beyond them is a slip of the pen.
const (
	maxUrgency     = 1000
	maxSlots       = 1024
	maxConnections = 65535
)

// Result is what a check of a folder finds.
type Result struct {
	// Catalog is nil when there is any error.
	Catalog *catalog.Catalog
	// Problems are all errors and warnings, by file and line.
	Problems []Problem

	locations *strict.Location
}

// Locate gives where the field at that path comes from; ok is false when no file gives it.
func (r Result) Locate(path string) (place Location, ok bool) {
	at, exact := r.locations.Find(path)
	return Location{File: at.File, Line: at.Line}, exact
}

// Errors gives the problems that make the configuration invalid.
func (r Result) Errors() []Problem {
	var all []Problem
	for _, p := range r.Problems {
		if p.Severity == SeverityError {
			all = append(all, p)
		}
	}
	return all
}

// Build merges the files in name order and checks the result. The catalog is nil when there is any error; warnings
// are left out. It depends on nothing but the files, so every node decides alike.
func Build(files []File) (*catalog.Catalog, []Problem) {
	if built := buildValid(files); built != nil {
		return built, nil
	}
	r := Check(files)
	return r.Catalog, r.Errors()
}

// buildValid gives the catalog of files without errors, and nil for others. It doesn't note where anything stands, which
// takes about half of the time of Check.
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

// Check does what Build does and gives warnings and places as well.
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

// Location is where a value comes from.
type Location struct {
	File string
	Line int
}

// checker builds a catalog from merged files and collects every problem on the way.
type checker struct {
	problems  []Problem
	locations *strict.Location
	// incomplete says that a file couldn't be read, so that what seems to be missing may stand there.
	incomplete bool
	// skipLocations leaves out places.
	skipLocations bool
}

// merge reads the files in name order and lays each over those before it.
func (c *checker) merge(files []File) wireFile {
	var merged wireFile
	size := 0
	last := ""
	for i, f := range sortedByName(files) {
		size += len(f.Name) + len(f.Content)
		if i > 0 && f.Name == last {
			c.problems = append(c.problems, Problem{File: f.Name, Text: "stands twice in the folder"})
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
		text := "all files together have " + strconv.Itoa(size) + " bytes; at most " + strconv.Itoa(MaxBytes) + " may be"
		c.problems = append(c.problems, Problem{Text: text})
	}
	return merged
}

// checkTenants reports a search that a later file gives to another tenant.
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
			text := "the search belongs to " + strconv.Quote(*before.Tenant) + " in " + from.File
			c.problems = append(c.problems, Problem{File: at.File, Line: at.Line, Field: path, Text: text})
		}
	}
}

// warnUselessRemovals warns of each null that removes nothing.
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
			gone := after.Snapshots[id] == nil && before.Snapshots[id] == nil
			c.warnUselessRemoval(later, "searches."+name+".snapshots."+id, gone)
		}
		for _, id := range sortedKeys(after.Endpoints) {
			gone := after.Endpoints[id] == nil && before.Endpoints[id] == nil
			c.warnUselessRemoval(later, "searches."+name+".endpoints."+id, gone)
		}
	}
}

func (c *checker) warnUselessRemoval(later decoded, path string, useless bool) {
	if !useless {
		return
	}
	at, _ := later.Location.Find(path)
	c.problems = append(c.problems, Problem{
		Severity: SeverityWarning, File: at.File, Line: at.Line, Field: path,
		Text: "null removes nothing: no earlier file makes the entry",
	})
}

// addError reports an error of a value; one that follows from another problem is passed over.
func (c *checker) addError(path, text string) { c.report(SeverityError, path, text) }

// addWarning reports a warning.
func (c *checker) addWarning(path, text string) { c.report(SeverityWarning, path, text) }

// addMissing reports an error of something that no file gives; it is passed over while a file couldn't be read.
func (c *checker) addMissing(path, text string) {
	if !c.incomplete {
		c.report(SeverityError, path, text)
	}
}

func (c *checker) report(severity Severity, path, text string) {
	at, _ := c.locations.Find(path)
	if at.Invalid {
		return
	}
	c.problems = append(c.problems, Problem{
		Severity: severity, File: at.File, Line: at.Line, Field: path, Text: text,
	})
}

// isInvalid says whether the value at that path has a problem already.
func (c *checker) isInvalid(path string) bool {
	at, _ := c.locations.Find(path)
	return at.Invalid
}

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
	// The sum of shares such as 0.7, 0.2 and 0.1 may be over 1 by a rounding.
	if floors > 1+1e-9 {
		c.addError("ranks", "the floors add up to "+strconv.FormatFloat(floors, 'g', 6, 64)+"; at most 1 may be")
	}
	return all
}

func (c *checker) rank(path, name string, w *wireRank) catalog.Rank {
	rank := catalog.Rank{Name: unit.RankName(name), Floor: c.share(path+".floor", w.Floor)}
	if w.Urgency == nil {
		c.addMissing(path+".urgency", "is missing; 1 is the most urgent")
		return rank
	}
	rank.Urgency = unit.Urgency(c.count(path+".urgency", w.Urgency, maxUrgency))
	return rank
}

// count gives a whole number from 1 to most.
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

// address checks an IP number and port.
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

// sortedKeys gives the keys of a map in order.
func sortedKeys[T any](m map[string]T) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// valueOrZero gives what p points to, or the zero value.
func valueOrZero[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
