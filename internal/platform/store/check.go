package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/routing"
	"basilspan/internal/policy/tablecheck"
)

// Problem is a problem with a routing table as it is written. Field is a path of published names, such as
// "routes.2.timeout_ms", with the position of an entry in its list, from 0.
type Problem struct {
	Severity tablecheck.Severity
	// Line counts from 1; 0 means that it is not known.
	Line  int
	Field string
	Text  string
}

// wireNames are the published names of fields.
var wireNames = map[tablecheck.Field]string{
	tablecheck.FieldVersion:       "version",
	tablecheck.FieldName:          "name",
	tablecheck.FieldHost:          "host",
	tablecheck.FieldPrefix:        "prefix",
	tablecheck.FieldTimeout:       "timeout_ms",
	tablecheck.FieldTarget:        "target_latency_ms",
	tablecheck.FieldAttempts:      "max_attempts",
	tablecheck.FieldService:       "service",
	tablecheck.FieldSplit:         "traffic_split",
	tablecheck.FieldShards:        "gather",
	tablecheck.FieldTopK:          "top_k",
	tablecheck.FieldMinShare:      "min_success_share",
	tablecheck.FieldConnections:   "max_connections",
	tablecheck.FieldHeader:        "max_header_bytes",
	tablecheck.FieldBody:          "max_body_bytes",
	tablecheck.FieldHeaderTimeout: "header_timeout_ms",
	tablecheck.FieldIdleTimeout:   "idle_timeout_ms",
}

// CheckTable returns all problems of a routing table, sorted by line. live is what a running VM says.
func CheckTable(value []byte, live tablecheck.Live) []Problem {
	c := &tableChecker{lines: lineNumbers(value)}
	var w wireTable
	if !c.decode(value, &w) {
		return c.problems
	}
	if w.Version == nil {
		c.add(tablecheck.Error, "version", "missing")
		w.Version = new(unit.TableVersion)
	}
	for _, f := range tablecheck.Check(w.draft(), live) {
		c.add(f.Severity, fieldPath(f), f.Text)
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return c.problems
}

// tableChecker collects the problems of a table.
type tableChecker struct {
	// lines has the line of each value by its path.
	lines    map[string]int
	problems []Problem
}

// add adds a problem with a value, or with a missing one, whose line is that of its entry.
func (c *tableChecker) add(s tablecheck.Severity, path, text string) {
	at := path
	for c.lines[at] == 0 && at != "" {
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.problems = append(c.problems, Problem{Severity: s, Line: max(1, c.lines[at]), Field: path, Text: text})
}

// decode decodes a table, and reports every value of a wrong type and every unknown key. It returns false if the text is
// no JSON object.
func (c *tableChecker) decode(value []byte, w *wireTable) bool {
	var syntax *json.SyntaxError
	if err := json.Unmarshal(value, w); errors.As(err, &syntax) {
		line := 1 + bytes.Count(value[:min(int(syntax.Offset), len(value))], []byte("\n"))
		c.problems = append(c.problems, Problem{Severity: tablecheck.Error, Line: line, Text: "is not valid JSON: " + err.Error()})
		return false
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		c.add(tablecheck.Error, "", "is not a JSON object")
		return false
	}
	*w = wireTable{}
	for key, raw := range fields {
		switch key {
		case "routes":
			w.Routes = decodeEntries[wireRoute](c, key, raw)
		case "services":
			w.Services = decodeEntries[wireService](c, key, raw)
		case "limits":
			decodeFields(c, key, raw, &w.Limits)
		default:
			c.decodeField(key, key, raw, w)
		}
	}
	return true
}

// decodeEntries decodes a list of objects.
func decodeEntries[T any](c *tableChecker, path string, raw json.RawMessage) []T {
	var entries []json.RawMessage
	if err := json.Unmarshal(raw, &entries); err != nil {
		c.add(tablecheck.Error, path, "is not a list")
		return nil
	}
	all := make([]T, len(entries))
	for i, e := range entries {
		decodeFields(c, path+"."+strconv.Itoa(i), e, &all[i])
	}
	return all
}

// decodeFields decodes an object field by field, so that all wrong ones are reported.
func decodeFields(c *tableChecker, path string, raw json.RawMessage, into any) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		c.add(tablecheck.Error, path, "is not an object")
		return
	}
	for key, value := range fields {
		c.decodeField(path+"."+key, key, value, into)
	}
}

// decodeField decodes one field of an object. Other programs read fields that this one doesn't know.
func (c *tableChecker) decodeField(path, key string, value json.RawMessage, into any) {
	name, _ := json.Marshal(key)
	object := slices.Concat([]byte("{"), name, []byte(":"), value, []byte("}"))
	if err := json.Unmarshal(object, into); err != nil {
		c.add(tablecheck.Error, path, fmt.Sprintf("%.40s has the wrong type", value))
	}
}

// fieldPath returns the path of the value that a finding is about.
func fieldPath(f tablecheck.Finding) string {
	path := ""
	switch f.Part {
	case tablecheck.PartRoute:
		path = "routes." + strconv.Itoa(f.Index)
	case tablecheck.PartService:
		path = "services." + strconv.Itoa(f.Index)
	case tablecheck.PartLimits:
		path = "limits"
	}
	return strings.Trim(path+"."+wireNames[f.Field], ".")
}

// draft returns the table with its numbers as they are written.
func (w wireTable) draft() tablecheck.Draft {
	d := tablecheck.Draft{Version: *w.Version, Limits: w.Limits.decode()}
	for _, wire := range w.Routes {
		r := *wire.decode()
		r.Attempts, r.MinShare = wire.MaxAttempts, unit.Share(wire.MinShare)
		for i, p := range wire.TrafficSplit {
			if wire.Service == "" {
				r.Split[i].Weight = unit.Weight(p.Weight)
			}
		}
		d.Routes = append(d.Routes, r)
	}
	for _, s := range w.Services {
		d.Services = append(d.Services, s.decode())
	}
	if l := w.Limits; l.HeaderTimeout < 0 {
		d.Limits.HeaderTimeout = -1
	} else if l.IdleTimeout < 0 {
		d.Limits.IdleTimeout = -1
	}
	return d
}

// decode returns the service.
func (w wireService) decode() routing.Service {
	return routing.Service{
		Name:        unit.ServiceName(w.Name),
		Connections: unit.Connections(w.MaxConnections),
		ColdRate:    unit.RequestRate(limit(w.ColdRate, maxColdRate)),
	}
}

// decode returns the limits, with times limited to their range.
func (w wireLimits) decode() routing.Limits {
	return routing.Limits{
		Header:        unit.Bytes(w.MaxHeader),
		Body:          unit.Bytes(w.MaxBody),
		HeaderTimeout: millis(w.HeaderTimeout),
		IdleTimeout:   millis(w.IdleTimeout),
	}
}

// TableValue is one value of a published table: its path, with routes and services by name, and its JSON.
type TableValue struct {
	Path string
	JSON string
}

// FlattenTable returns the values of a table for comparing it with another one. It returns an error if the table is not
// valid JSON.
func FlattenTable(value []byte) ([]TableValue, error) {
	var table any
	if err := json.Unmarshal(value, &table); err != nil {
		return nil, shortenedError("decode the routing table", err)
	}
	var all []TableValue
	flatten("", table, &all)
	return all, nil
}

// flatten adds the values below one to all. Lists of values without a name are one value.
func flatten(path string, value any, all *[]TableValue) {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			flatten(strings.Trim(path+"."+key, "."), child, all)
		}
		return
	case []any:
		if named(v) {
			for _, child := range v {
				flatten(path+"."+fmt.Sprint(child.(map[string]any)["name"]), child, all)
			}
			return
		}
	case float64:
		if v == math.Trunc(v) && math.Abs(v) < maxCount {
			*all = append(*all, TableValue{Path: path, JSON: strconv.FormatInt(int64(v), 10)})
			return
		}
	}
	text, _ := json.Marshal(value)
	*all = append(*all, TableValue{Path: path, JSON: string(text)})
}

// named reports whether all entries of a list are objects with names of their own.
func named(list []any) bool {
	seen := make(map[string]bool)
	for _, e := range list {
		object, _ := e.(map[string]any)
		name, _ := object["name"].(string)
		if name == "" || seen[name] {
			return false
		}
		seen[name] = true
	}
	return len(list) > 0
}

// lineNumbers returns the line of each value of a JSON text by its path, as far as the text is valid.
func lineNumbers(value []byte) map[string]int {
	lines := map[string]int{"": 1}
	d := json.NewDecoder(bytes.NewReader(value))
	line, counted := 1, 0
	next := func() (json.Token, error) {
		t, err := d.Token()
		end := min(int(d.InputOffset()), len(value))
		line += bytes.Count(value[counted:end], []byte("\n"))
		counted = end
		return t, err
	}
	var read func(path string, t json.Token) error
	read = func(path string, t json.Token) error {
		lines[path] = line
		open, isDelim := t.(json.Delim)
		for i := 0; isDelim && d.More(); i++ {
			key := strconv.Itoa(i)
			if open == '{' {
				k, err := next()
				if err != nil {
					return err
				}
				key = fmt.Sprint(k)
			}
			child, err := next()
			if err != nil {
				return err
			}
			if err := read(strings.Trim(path+"."+key, "."), child); err != nil {
				return err
			}
		}
		if isDelim {
			_, err := next()
			return err
		}
		return nil
	}
	if t, err := next(); err == nil {
		_ = read("", t)
	}
	return lines
}
