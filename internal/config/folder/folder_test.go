package folder

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/strict"
	"basilspan/internal/policy/catalog"
)

// base is the content of a small valid folder. Tests add files that override parts of it.
const base = `{
  "ranks": {"desk": {"urgency": 1, "floor": 0.2}, "upkeep": {"urgency": 2}},
  "searches": {
    "find": {
      "tenant": "one",
      "aim": "latency",
      "snapshots": {"1": {"shards": ["s0"]}},
      "endpoints": {
        "s0-a": {"shard": "s0", "address": "10.0.0.1:80", "centre": "amman", "slots": 2, "connections": 25}
      }
    }
  }
}`

// withBase returns base as 10.json and the contents as 20.json, 30.json and so on.
func withBase(contents ...string) []File {
	files := []File{{Name: "10.json", Content: []byte(base)}}
	for i, content := range contents {
		name := string(rune('2'+i)) + "0.json"
		files = append(files, File{Name: name, Content: []byte(content)})
	}
	return files
}

func TestCheckReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name     string
		add      []string
		warnings int
		want     []string
	}{
		{"valid", nil, 0, nil},
		{"unknown keys", []string{"{\n\"rank\": {},\n\"ranks\": {\"desk\": {\"flor\": 1}}}"}, 0, []string{
			`20.json:2: rank: unknown key; valid keys are "ranks", "searches"`,
			`20.json:3: ranks.desk.flor: unknown key; valid keys are "floor", "urgency"`,
		}},
		{"a key in another case", []string{`{"ranks": {"desk": {"Floor": 1}}}`}, 0, []string{
			`20.json:1: ranks.desk.Floor: unknown key; valid keys are "floor", "urgency"`,
		}},
		{
			"duplicate keys",
			[]string{"{\"ranks\": {\"desk\": {\n\"floor\": 0.1,\n\"floor\": 0.2}, \"desk\": {}}}"},
			0,
			[]string{
				`20.json:3: ranks.desk: the key stands twice, first on line 1`,
				`20.json:3: ranks.desk.floor: the key stands twice, first on line 2`,
			},
		},
		{"wrong types and units", []string{`{"ranks": {"desk": {"urgency": 1.5, "floor": "20%"}},
"searches": {"find": {"once": 1, "snapshots": {"1": {"shards": [7]}},
"endpoints": {"s0-a": {"slots": "2", "connections": 99999999999, "address": "db.example:80"}}}}}`}, 0, []string{
			`20.json:1: ranks.desk.urgency: must be a whole number, not 1.5`,
			`20.json:1: ranks.desk.floor: must be a number, not a string`,
			`20.json:2: searches.find.once: must be true or false, not a number`,
			`20.json:2: searches.find.snapshots.1.shards[0]: must be a string, not a number`,
			`20.json:3: searches.find.endpoints.s0-a.slots: must be a number, not a string`,
			`20.json:3: searches.find.endpoints.s0-a.address: must be an IP number and port, such as "10.0.0.7:8080", not "db.example:80"`,
			`20.json:3: searches.find.endpoints.s0-a.connections: must be from 1 to 65535, not 99999999999`,
		}},
		{"values out of bounds", []string{`{"ranks": {"desk": {"urgency": 0, "floor": -1}, "upkeep": {"floor": 1.5}},
"searches": {"find": {"aim": "speed", "minimum": 2, "endpoints": {"s0-a": {"slots": 0, "connections": 70000}}}}}`}, 0, []string{
			`20.json:1: ranks.desk.floor: must be a share from 0 to 1, not -1`,
			`20.json:1: ranks.desk.urgency: must be from 1 to 1000, not 0`,
			`20.json:1: ranks.upkeep.floor: must be a share from 0 to 1, not 1.5`,
			`20.json:2: searches.find.aim: must be "latency" or "coverage", not "speed"`,
			`20.json:2: searches.find.minimum: must be a share from 0 to 1, not 2`,
			`20.json:2: searches.find.endpoints.s0-a.slots: must be from 1 to 1024, not 0`,
			`20.json:2: searches.find.endpoints.s0-a.connections: must be from 1 to 65535, not 70000`,
		}},
		{"floors over 1", []string{`{"ranks": {"upkeep": {"floor": 0.9}}}`}, 0, []string{
			`20.json:1: ranks: the floors of the ranks add up to 1.1; at most 1 is allowed`,
		}},
		{"equal urgency", []string{`{"ranks": {"upkeep": {"urgency": 1}}}`}, 0, []string{
			`20.json:1: ranks.upkeep.urgency: rank "desk" has the same urgency; each rank needs its own`,
		}},
		{"missing fields", []string{`{"ranks": {"bulk": {}}, "searches": {"log": {"endpoints": {"l-a": {}}}}}`}, 1, []string{
			`20.json:1: ranks.bulk.urgency: is missing; 1 is the most urgent`,
			`20.json:1: searches.log.aim: is missing; it must be "latency" or "coverage"`,
			`20.json:1: searches.log.endpoints.l-a.address: is missing`,
			`20.json:1: searches.log.endpoints.l-a.slots: is missing`,
			`20.json:1: searches.log.endpoints.l-a.connections: is missing`,
			`20.json:1: searches.log.endpoints.l-a.shard: is missing`,
			`20.json:1: searches.log.snapshots: the search has no snapshot; every query gets code 209`,
		}},
		{"bad names", []string{`{"ranks": {"a.b": {"urgency": 3}}, "searches": {"": {}, "find": {"tenant": "one",
"snapshots": {"01": {"shards": ["s0"]}, "2": {"shards": ["s0", "s0", "s\n"]}}}}}`}, 1, []string{
			`20.json:1: ranks.a.b: ` + strict.NameRule,
			`20.json:1: searches.: ` + strict.NameRule,
			`20.json:2: searches.find.snapshots.2.shards[1]: "s0" is already in the list`,
			`20.json:2: searches.find.snapshots.2.shards[2]: ` + strict.NameRule,
			`20.json:2: searches.find.snapshots.01: the snapshot id must be a whole number from 1, without leading zeros`,
			`20.json:2: searches.find.snapshots.2.shards: shard "s\n" has no endpoint; answers will lack this shard`,
		}},
		{"conflicts between files", []string{
			`{"searches": {"find": {"tenant": "two"}}}`,
			`{"searches": {"log": {"aim": "coverage", "snapshots": {"1": {"shards": ["l0"]}}, "endpoints": {
"s0-a": {"shard": "l0", "address": "10.0.0.1:80", "slots": 1, "connections": 1}}}}}`,
		}, 0, []string{
			`20.json:1: searches.find.tenant: must be the same in all files; it is "one" in 10.json`,
			`30.json:2: searches.log.endpoints.s0-a.address: is the address of searches.find.endpoints.s0-a too`,
			`30.json:2: searches.log.endpoints.s0-a: has the id of searches.find.endpoints.s0-a; an endpoint's id is unique in the folder`,
		}},
		{"warning for references to nothing", []string{`{"searches": {"find": {"snapshots": {"2": {"shards": ["s0", "s1"]}},
"endpoints": {"s9-a": {"shard": "s9", "address": "10.0.0.9:80", "slots": 3, "connections": 2}}}}}`}, 3, []string{
			`20.json:1: searches.find.snapshots.2.shards: shard "s1" has no endpoint; answers will lack this shard`,
			`20.json:2: searches.find.endpoints.s9-a.connections: fewer connections than slots leave slots unused`,
			`20.json:2: searches.find.endpoints.s9-a.shard: shard "s9" is in no snapshot; the endpoint gets no work`,
		}},
		{"warning for once with hedge", []string{`{"searches": {"find": {"once": true, "hedge": true}}}`}, 1, []string{
			`20.json:1: searches.find.hedge: has no effect, since "once" is true`,
		}},
		{
			"warning when the last endpoint is leaving",
			[]string{`{"searches": {"find": {"endpoints": {"s0-a": {"leaving": true}}}}}`},
			1,
			[]string{
				`10.json:7: searches.find.snapshots.1.shards: every endpoint of shard "s0" is leaving; answers will lack this shard`,
			},
		},
		{"an incarnation", []string{`{"searches": {"find": {"endpoints": {"s0-a": {"incarnation": 2}}}}}`}, 0, nil},
		{
			"a negative incarnation",
			[]string{`{"searches": {"find": {"endpoints": {"s0-a": {"incarnation": -1}}}}}`},
			0,
			[]string{
				`20.json:1: searches.find.endpoints.s0-a.incarnation: must be at least 0, not -1`,
			},
		},
		{"null", []string{`{"ranks": {"upkeep": null, "bulk": null, "desk": {"floor": null}}}`}, 1, []string{
			`20.json:1: ranks.desk.floor: must be a number, not null; null removes only a whole rank, search, snapshot or endpoint`,
			`20.json:1: ranks.bulk: null has no effect: no earlier file has this entry`,
		}},
		{"everything removed", []string{`{"ranks": {"desk": null, "upkeep": null}, "searches": {"find": null}}`}, 0, []string{
			`20.json:1: ranks: at least one rank must be configured`,
			`20.json:1: searches: at least one search must be configured`,
		}},
		{
			"invalid JSON does not hide other problems",
			[]string{"{\n\"ranks\": {]", `{"ranks": {"desk": {"urgency": 0}}}`, "{} {}", ""},
			0,
			[]string{
				`20.json:2: is not valid JSON: invalid character ']'`,
				`30.json:1: ranks.desk.urgency: must be from 1 to 1000, not 0`,
				`40.json:1: is not valid JSON: there is more after its end`,
				`50.json:1: is not valid JSON: it ends too early`,
			},
		},
		{"nothing is reported as missing beside invalid JSON", []string{
			`{"ranks": {"desk": null, "upkeep": null}, "searches": {"find": null, "log": {}}}`, "{",
		}, 0, []string{`30.json:1: is not valid JSON: it ends too early`}},
		{"not an object", []string{`[]`, "\"\xff\""}, 0, []string{
			`20.json:1: must be an object, not a list`,
			`30.json:1: is not valid JSON: it is not UTF-8`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := Check(withBase(tt.add...))
			assert.Equal(t, len(r.Problems), len(tt.want), "%v", r.Problems)
			for i, p := range r.Problems {
				assert.Assert(t, strings.HasPrefix(p.String(), tt.want[i]), "%s\nwant %s", p, tt.want[i])
			}
			assert.Equal(t, len(r.Problems)-len(r.Errors()), tt.warnings)
			assert.Equal(t, r.Catalog == nil, len(r.Errors()) > 0)
			built, errs := Build(withBase(tt.add...))
			assert.DeepEqual(t, built, r.Catalog)
			assert.DeepEqual(t, errs, r.Errors())
		})
	}
}

func TestCheckBoundsSize(t *testing.T) {
	tests := []struct {
		name   string
		bytes  int
		errors int
	}{
		{"a megabyte with the names", MaxBytes - len("10.json") - len("20.json") - len(base), 0},
		{"one byte more", MaxBytes - len("10.json") - len("20.json") - len(base) + 1, 1},
	}
	for _, tt := range tests {
		r := Check(withBase("{" + strings.Repeat(" ", tt.bytes-2) + "}"))
		assert.Equal(t, len(r.Errors()), tt.errors, tt.name)
	}
}

func TestCheckBoundsNesting(t *testing.T) {
	r := Check(withBase(strings.Repeat("[", MaxBytes/2)))
	assert.Equal(t, r.Problems[0].String(), "20.json:1: is not valid JSON: it is nested deeper than 16 levels")
}

func TestMergeInNameOrder(t *testing.T) {
	tests := []struct {
		name     string
		files    []File
		path     string
		want     string
		location Location
		given    bool
	}{
		{"the first file", withBase(), "ranks.desk.floor", "0.2", Location{"10.json", 2}, true},
		{"a default", withBase(), "searches.find.hedge", "false", Location{"10.json", 4}, false},
		{
			"a later file", withBase("{\n\"ranks\": {\"desk\": {\"floor\": 0.3}}}"),
			"ranks.desk.floor", "0.3",
			Location{"20.json", 2},
			true,
		},
		{
			"a later file keeps other fields", withBase(`{"ranks": {"desk": {"floor": 0.3}}}`),
			"ranks.desk.urgency", "1",
			Location{"10.json", 2},
			true,
		},
		{
			"a list is replaced as a whole", withBase(`{"searches": {"find": {"snapshots": {"1": {"shards": ["s1"]}}}}}`),
			"searches.find.snapshots.1.shards", `["s1"]`,
			Location{"20.json", 1},
			true,
		},
		{
			"removed and added again", withBase(`{"ranks": {"desk": null}}`, `{"ranks": {"desk": {"urgency": 5}}}`),
			"ranks.desk.floor", "0",
			Location{"30.json", 1},
			false,
		},
		{
			"a removed rank", withBase(`{"ranks": {"upkeep": null}}`),
			"ranks.upkeep.urgency", "",
			Location{"20.json", 1},
			false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, files := range [][]File{tt.files, reverseFiles(tt.files)} {
				r := Check(files)
				assert.Equal(t, len(r.Errors()), 0, "%v", r.Problems)
				location, given := r.Locate(tt.path)
				assert.Equal(t, given, tt.given)
				assert.Equal(t, location, tt.location)
				assert.Equal(t, findValue(Flatten(r.Catalog), tt.path), tt.want)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	tests := []struct {
		name string
		add  string
		want []Change
	}{
		{"nothing", `{}`, nil},
		{"a value", `{"ranks": {"desk": {"floor": 0.3}}}`, []Change{{"ranks.desk.floor", "0.2", "0.3"}}},
		{"an entry", `{"ranks": {"upkeep": null, "bulk": {"urgency": 7}}}`, []Change{
			{"ranks.bulk.floor", "", "0"},
			{"ranks.bulk.urgency", "", "7"},
			{"ranks.upkeep.floor", "0", ""},
			{"ranks.upkeep.urgency", "2", ""},
		}},
	}
	for _, tt := range tests {
		before, after := Check(withBase()), Check(withBase(tt.add))
		assert.DeepEqual(t, Diff(Flatten(before.Catalog), Flatten(after.Catalog)), tt.want)
	}
}

// TestFlattenHasEveryField guards against a new field of the format that config show and config diff leave out.
func TestFlattenHasEveryField(t *testing.T) {
	tests := []struct {
		wire any
		path string
	}{
		{wireRank{}, "ranks.desk."},
		{wireSearch{}, "searches.find."},
		{wireSnapshot{}, "searches.find.snapshots.1."},
		{wireEndpoint{}, "searches.find.endpoints.s0-a."},
	}
	values := Flatten(Check(withBase()).Catalog)
	for _, tt := range tests {
		for key := range strict.Keys(reflect.TypeOf(tt.wire)) {
			found := false
			for _, v := range values {
				found = found || strings.HasPrefix(v.Path, tt.path+key)
			}
			assert.Assert(t, found, "%s%s is not shown", tt.path, key)
		}
	}
}

func TestReadSkipsOtherFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"20.json", "10.json", ".30.json", "40.json.new", "README"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte("{}"), 0o600))
	}
	assert.NilError(t, os.Mkdir(filepath.Join(dir, "50.json"), 0o700))
	files, err := Read(dir)
	assert.NilError(t, err)
	assert.DeepEqual(t, files, []File{{"10.json", []byte("{}")}, {"20.json", []byte("{}")}})
}

// FuzzCheck searches for file contents that make Check panic, that make the result depend on the order of files or
// differ between Check and Build, or that return a valid catalog which other code cannot use.
func FuzzCheck(f *testing.F) {
	seeds := []string{
		base, "", "{", "null", "[[[[", `{"ranks":null}`, `{"ranks":{"a":null}}`, `{"searches":{"find":null}}`,
		`{"ranks":{"a":{"urgency":1e999,"floor":1e999}}}`, `{"searches":{"find":{"snapshots":{"1":null}}}}`,
		`{"searches":{"find":{"endpoints":{"s0-a":{"leaving":true}}}}}`, "{\"a\":1}\n{\"a\":1}", "\xff\xfe", `{"":{}}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		files := withBase(string(content))
		r, again := Check(files), Check(reverseFiles(files))
		assert.DeepEqual(t, r.Problems, again.Problems)
		assert.DeepEqual(t, r.Catalog, again.Catalog)
		built, errs := Build(files)
		assert.DeepEqual(t, built, r.Catalog)
		assert.DeepEqual(t, errs, r.Errors())
		assert.Equal(t, r.Catalog == nil, len(r.Errors()) > 0)
		for _, p := range r.Problems {
			assert.Assert(t, p.Text != "" && (p.Line == 0 || p.File != ""), "%v", p)
		}
		if r.Catalog != nil {
			assertUsable(t, r.Catalog)
		}
	})
}

// assertUsable checks the invariants of a valid catalog that its readers rely on.
func assertUsable(t *testing.T, c *catalog.Catalog) {
	assert.Assert(t, len(c.Ranks) > 0 && len(c.Searches) > 0)
	for _, rank := range c.Ranks {
		assert.Assert(t, rank.Urgency >= 1 && rank.Floor >= 0 && rank.Floor <= 1)
	}
	for _, s := range c.Searches {
		for _, e := range s.Endpoints {
			assert.Assert(t, e.Address != "" && e.Slots >= 1 && e.Connections >= 1 && e.Shard != "")
		}
	}
}

func reverseFiles(files []File) []File {
	var all []File
	for i := len(files) - 1; i >= 0; i-- {
		all = append(all, files[i])
	}
	return all
}

func findValue(values []Value, path string) string {
	for _, v := range values {
		if v.Path == path {
			return v.JSON
		}
	}
	return ""
}

// TestDocsNameEveryKey checks that the table in docs/CONFIG.md has every key of the format.
func TestDocsNameEveryKey(t *testing.T) {
	tests := []struct {
		wire any
		path string
	}{
		{wireRank{}, "ranks.NAME."},
		{wireSearch{}, "searches.NAME."},
		{wireSnapshot{}, "searches.NAME.snapshots.NUMBER."},
		{wireEndpoint{}, "searches.NAME.endpoints.NAME."},
	}
	page, err := os.ReadFile("../../../docs/CONFIG.md")
	assert.NilError(t, err)
	for _, tt := range tests {
		for key := range strict.Keys(reflect.TypeOf(tt.wire)) {
			assert.Assert(t, strings.Contains(string(page), "| `"+tt.path+key), "%s%s is not in docs/CONFIG.md", tt.path, key)
		}
	}
}
