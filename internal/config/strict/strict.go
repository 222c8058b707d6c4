// Package strict decodes JSON into wire types and rejects input that encoding/json accepts: unknown and repeated keys,
// keys in another case, nulls, and data after the end. It reports all problems at once, each with its line and field.
package strict

import (
	"encoding/base64"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Problem is one error in a JSON text.
type Problem struct {
	Line int
	// Field is the path of the value, such as "ranks.desk.urgency". It is empty for the text as a whole.
	Field string
	Text  string
}

// Options adapt decoding to a format. The zero value is valid.
type Options struct {
	// File is the file name recorded in locations.
	File string
	// CheckName returns the problem with a key of a map or an item of a list, or "" if it is valid.
	CheckName func(name string) string
	// NullHint is appended to the text of a problem with null.
	NullHint string
	// SkipLocations leaves out locations and the fields of problems, which takes less time. Result.Location is nil
	// then.
	SkipLocations bool
	// AllowUnknownKeys lists unknown keys in Result.UnknownKeys instead of reporting them as problems.
	AllowUnknownKeys bool
}

// Result is the outcome of Decode.
type Result struct {
	// Location is the location of the whole text and of all values in it.
	Location *Location
	Problems []Problem
	// InvalidJSON is set if the text is not valid JSON; nothing of it was decoded then.
	InvalidJSON bool
	// UnknownKeys are the paths of the unknown keys that AllowUnknownKeys accepted.
	UnknownKeys []string
}

// decoder decodes one text and collects its problems.
type decoder struct {
	options     Options
	problems    []Problem
	unknownKeys []string
	// keys caches the result of Keys for each wire type.
	keys map[reflect.Type]map[string]int
}

// Decode decodes content into the value that into points to. Its type may be a struct with a JSON key on each field, a
// map or pointer of supported types, a list of strings, bytes (base64 or null), or a string, bool or number.
func Decode(content []byte, into any, options Options) Result {
	root, syntax := parse(content)
	if syntax != nil {
		p := Problem{Line: syntax.line, Text: "is not valid JSON: " + syntax.Error()}
		return Result{Location: &Location{}, Problems: []Problem{p}, InvalidJSON: true}
	}
	d := &decoder{options: options, keys: make(map[reflect.Type]map[string]int)}
	var location *Location
	if !options.SkipLocations {
		location = &Location{}
	}
	d.fill(root, reflect.ValueOf(into).Elem(), "", location)
	return Result{Location: location, Problems: d.problems, UnknownKeys: d.unknownKeys}
}

// addProblem records a problem with the value at path.
func (d *decoder) addProblem(line int, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: line, Field: path, Text: fmt.Sprintf(format, args...)})
}

// checkName reports whether Options.CheckName accepts name, and adds a problem if not.
func (d *decoder) checkName(line int, path, name string) bool {
	if d.options.CheckName == nil {
		return true
	}
	fault := d.options.CheckName(name)
	if fault != "" {
		d.addProblem(line, path, "%s", fault)
	}
	return fault == ""
}

// fill sets into from n and records the location at.
func (d *decoder) fill(n *node, into reflect.Value, path string, at *Location) {
	at.setPosition(d.options.File, n.line)
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.fill(n, into.Elem(), path, at)
	case reflect.Struct:
		if d.expectKind(n, kindObject, path, at) {
			d.fillStruct(n, into, path, at)
		}
	case reflect.Map:
		if d.expectKind(n, kindObject, path, at) {
			d.fillMap(n, into, path, at)
		}
	case reflect.Slice:
		d.fillSlice(n, into, path, at)
	case reflect.String:
		if d.expectKind(n, kindString, path, at) {
			into.SetString(n.text)
		}
	case reflect.Bool:
		if d.expectKind(n, kindBool, path, at) {
			into.SetBool(n.flag)
		}
	default:
		if d.expectKind(n, kindNumber, path, at) {
			d.fillNumber(n, into, path, at)
		}
	}
}

// expectKind reports whether n is of the given kind, and adds a problem if not.
func (d *decoder) expectKind(n *node, kind nodeKind, path string, at *Location) bool {
	switch {
	case n.kind == kind:
		return true
	case n.kind == kindNull:
		d.addProblem(n.line, path, "must be %s, not null%s", kind, d.options.NullHint)
	default:
		d.addProblem(n.line, path, "must be %s, not %s", kind, n.kind)
	}
	at.markInvalid()
	return false
}

// fillStruct fills the fields of a struct by their JSON keys.
func (d *decoder) fillStruct(n *node, into reflect.Value, path string, at *Location) {
	known := d.keys[into.Type()]
	if known == nil {
		known = Keys(into.Type())
		d.keys[into.Type()] = known
	}
	for _, f := range d.uniqueFields(n, path) {
		i, ok := known[f.key]
		if !ok {
			d.handleUnknownKey(f, path, known)
			continue
		}
		d.fill(f.value, into.Field(i), d.joinPath(path, f.key), at.child(f.key))
	}
}

// handleUnknownKey lists a key that the wire type does not have, or adds a problem, depending on AllowUnknownKeys.
func (d *decoder) handleUnknownKey(f field, path string, known map[string]int) {
	if d.options.AllowUnknownKeys {
		d.unknownKeys = append(d.unknownKeys, d.joinPath(path, f.key))
		return
	}
	d.addProblem(f.line, d.joinPath(path, f.key), "unknown key; valid keys are %s", quotedKeys(known))
}

// fillMap fills a map with names as keys. Null is the zero value of an entry and marks it as removed.
func (d *decoder) fillMap(n *node, into reflect.Value, path string, at *Location) {
	into.Set(reflect.MakeMap(into.Type()))
	for _, f := range d.uniqueFields(n, path) {
		name := d.joinPath(path, f.key)
		if !d.checkName(f.line, name, f.key) {
			continue
		}
		entry := reflect.Zero(into.Type().Elem())
		if f.value.kind == kindNull {
			at.child(f.key).markRemoved()
		} else {
			entry = reflect.New(into.Type().Elem()).Elem()
			d.fill(f.value, entry, name, at.child(f.key))
		}
		at.child(f.key).setPosition(d.options.File, f.line)
		into.SetMapIndex(reflect.ValueOf(f.key), entry)
	}
}

// fillSlice fills a byte slice from base64, or a list of names.
func (d *decoder) fillSlice(n *node, into reflect.Value, path string, at *Location) {
	if into.Type().Elem().Kind() != reflect.Uint8 {
		if d.expectKind(n, kindArray, path, at) {
			d.fillNames(n, into, path, at)
		}
		return
	}
	// encoding/json writes a nil byte slice as null.
	if n.kind == kindNull || !d.expectKind(n, kindString, path, at) {
		return
	}
	content, err := base64.StdEncoding.DecodeString(n.text)
	if err != nil {
		d.addProblem(n.line, path, "must be bytes in base64: %v", err)
		at.markInvalid()
	}
	into.SetBytes(content)
}

// fillNames fills a list of names and adds a problem for each repeated one.
func (d *decoder) fillNames(n *node, into reflect.Value, path string, at *Location) {
	all := make([]string, 0, len(n.items))
	seen := make(map[string]bool, len(n.items))
	for i, item := range n.items {
		name := ""
		if !d.options.SkipLocations {
			name = path + "[" + strconv.Itoa(i) + "]"
		}
		if !d.expectKind(item, kindString, name, at) {
			// expectKind marked the whole list as invalid, so the caller does not report what it lacks.
			continue
		}
		d.checkName(item.line, name, item.text)
		if seen[item.text] {
			d.addProblem(item.line, name, "%q is already in the list", item.text)
		}
		seen[item.text] = true
		all = append(all, item.text)
	}
	into.Set(reflect.ValueOf(all))
}

// fillNumber fills a float, unsigned or signed integer of any size, and adds a problem for a number out of its range.
func (d *decoder) fillNumber(n *node, into reflect.Value, path string, at *Location) {
	if into.Kind() == reflect.Float64 {
		x, err := strconv.ParseFloat(n.text, 64)
		if err != nil {
			d.addProblem(n.line, path, "%s is out of range", n.text)
			at.markInvalid()
		}
		into.SetFloat(x)
		return
	}
	if into.CanUint() {
		x, err := strconv.ParseUint(n.text, 10, into.Type().Bits())
		if err != nil {
			d.addProblem(n.line, path, "must be a whole number of 0 or more, not %s", n.text)
			at.markInvalid()
		}
		into.SetUint(x)
		return
	}
	x, err := strconv.ParseInt(n.text, 10, into.Type().Bits())
	if err != nil {
		d.addProblem(n.line, path, "must be a whole number, not %s", n.text)
		at.markInvalid()
	}
	into.SetInt(x)
}

// uniqueFields returns the fields of an object, the first one of each key, and adds a problem for each repeated key.
func (d *decoder) uniqueFields(n *node, path string) []field {
	first := make(map[string]int, len(n.fields))
	all := make([]field, 0, len(n.fields))
	for _, f := range n.fields {
		if line, ok := first[f.key]; ok {
			d.addProblem(f.line, d.joinPath(path, f.key), "the key stands twice, first on line %d", line)
			continue
		}
		first[f.key] = f.line
		all = append(all, f)
	}
	return all
}

// Keys returns the index of each field of a wire type by its JSON key.
func Keys(t reflect.Type) map[string]int {
	all := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		all[key] = i
	}
	return all
}

// quotedKeys returns the keys of a set, quoted and sorted, for an error message.
func quotedKeys(set map[string]int) string {
	var all []string
	for name := range set {
		all = append(all, strconv.Quote(name))
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

// joinPath returns the path of the field key below path, or "" if locations are skipped.
func (d *decoder) joinPath(path, key string) string {
	switch {
	case d.options.SkipLocations:
		return ""
	case path == "":
		return key
	default:
		return path + "." + key
	}
}
