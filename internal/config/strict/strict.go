// Package strict reads JSON into wire types and refuses what encoding/json passes over: unknown and repeated keys, keys
// in another case, nulls, and what follows the end. It reports every problem at once, with its line and field.
package strict

import (
	"encoding/base64"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// Problem is one fault of a text.
type Problem struct {
	Line int
	// Field is the path of the value, such as "ranks.desk.urgency"; it is empty for the text as a whole.
	Field string
	Text  string
}

// Options are what a format adds to the rules. Every field may be left out.
type Options struct {
	// File is put into every place.
	File string
	// CheckName gives the fault of a map's key or of a list's item, or "".
	CheckName func(name string) string
	// NullHint is added to the text of a problem with null.
	NullHint string
	// SkipLocations leaves out places and the fields of problems, which takes less time; Place is nil then.
	SkipLocations bool
	// AllowUnknownKeys has unknown keys listed in the result instead of reported as problems.
	AllowUnknownKeys bool
}

// Result is what was read.
type Result struct {
	Location *Location
	Problems []Problem
	// InvalidJSON says that the text is no JSON, so that nothing of it is known.
	InvalidJSON bool
	// UnknownKeys are the paths of the keys that a lenient reading passed over.
	UnknownKeys []string
}

// decoder collects the problems of one text.
type decoder struct {
	options     Options
	problems    []Problem
	unknownKeys []string
	// keys holds the keys of the wire types met so far.
	keys map[reflect.Type]map[string]int
}

// Decode reads content into what the pointer into points to. Wire types are structs with a JSON key on each field,
// maps and pointers of them, lists of strings, bytes in base64 or null, and plain values.
func Decode(content []byte, into any, options Options) Result {
	root, syntax := parse(content)
	if syntax != nil {
		p := Problem{Line: syntax.line, Text: "is not valid JSON: " + syntax.Error()}
		return Result{Location: &Location{}, Problems: []Problem{p}, InvalidJSON: true}
	}
	d := &decoder{options: options, keys: make(map[reflect.Type]map[string]int)}
	var place *Location
	if !options.SkipLocations {
		place = &Location{}
	}
	d.fill(root, reflect.ValueOf(into).Elem(), "", place)
	return Result{Location: place, Problems: d.problems, UnknownKeys: d.unknownKeys}
}

func (d *decoder) addProblem(line int, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: line, Field: path, Text: fmt.Sprintf(format, args...)})
}

// checkName says whether a name keeps to the format's rule and reports it if not.
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

// fill sets the value that into stands for from n.
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

// expectKind says whether n is of that kind and reports it if not.
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

// handleUnknownKey takes a key that the wire type does not have.
func (d *decoder) handleUnknownKey(f field, path string, known map[string]int) {
	if d.options.AllowUnknownKeys {
		d.unknownKeys = append(d.unknownKeys, d.joinPath(path, f.key))
		return
	}
	d.addProblem(f.line, d.joinPath(path, f.key), "unknown key; the keys here are %s", quotedKeys(known))
}

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

// fillSlice reads bytes in base64, or a list of names.
func (d *decoder) fillSlice(n *node, into reflect.Value, path string, at *Location) {
	if into.Type().Elem().Kind() != reflect.Uint8 {
		if d.expectKind(n, kindArray, path, at) {
			d.fillNames(n, into, path, at)
		}
		return
	}
	// Encoders write an empty list of bytes as null.
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

// fillNames reads a list of names without repeats.
func (d *decoder) fillNames(n *node, into reflect.Value, path string, at *Location) {
	all := make([]string, 0, len(n.items))
	seen := make(map[string]bool, len(n.items))
	for i, item := range n.items {
		name := ""
		if !d.options.SkipLocations {
			name = path + "[" + strconv.Itoa(i) + "]"
		}
		if !d.expectKind(item, kindString, name, at) {
			// The list is marked as bad, so that nothing more is said of what it lacks.
			continue
		}
		d.checkName(item.line, name, item.text)
		if seen[item.text] {
			d.addProblem(item.line, name, "%q stands in the list already", item.text)
		}
		seen[item.text] = true
		all = append(all, item.text)
	}
	into.Set(reflect.ValueOf(all))
}

func (d *decoder) fillNumber(n *node, into reflect.Value, path string, at *Location) {
	if into.Kind() == reflect.Float64 {
		x, err := strconv.ParseFloat(n.text, 64)
		if err != nil {
			d.addProblem(n.line, path, "%s is not a number that can be held", n.text)
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

// uniqueFields gives the fields of an object without repeats and reports each repeat.
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

// Keys gives the JSON keys of a wire type with the index of each field.
func Keys(t reflect.Type) map[string]int {
	all := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		all[key] = i
	}
	return all
}

// quotedKeys gives the names of a set, quoted and in order.
func quotedKeys(set map[string]int) string {
	var all []string
	for name := range set {
		all = append(all, strconv.Quote(name))
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

// joinPath gives the path of a field.
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
