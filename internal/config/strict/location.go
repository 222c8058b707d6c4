package strict

import "strings"

// Location is the file and line of a value, with the locations of the fields within it.
type Location struct {
	File string
	Line int
	// Removed is set if the value is a null entry of a map, which removes the entry of an earlier file.
	Removed bool
	// Invalid is set if the value has a problem.
	Invalid bool
	// Fields are the locations of the value's fields, by key.
	Fields map[string]*Location
}

// Merge overrides p by the locations of a later file, and deletes the entries that the later file removes. A value that
// is invalid in any file stays marked as invalid.
func (p *Location) Merge(from *Location) {
	p.File, p.Line = from.File, from.Line
	p.Invalid = p.Invalid || from.Invalid
	for key, c := range from.Fields {
		if c.Removed {
			delete(p.Fields, key)
			continue
		}
		p.child(key).Merge(c)
	}
}

// Find returns the location of the field at path. If there is none, exact is false and the location is that of the
// nearest enclosing entry.
func (p *Location) Find(path string) (at *Location, exact bool) {
	if p == nil {
		return &Location{}, false
	}
	at = p
	for _, key := range strings.Split(path, ".") {
		next := at.Fields[key]
		if next == nil {
			return at, false
		}
		at = next
	}
	return at, true
}

// setPosition records the file and line of the value. This and the other recording methods do nothing on a nil
// Location.
func (p *Location) setPosition(file string, line int) {
	if p != nil {
		p.File, p.Line = file, line
	}
}

// markInvalid records that the value has a problem.
func (p *Location) markInvalid() {
	if p != nil {
		p.Invalid = true
	}
}

// markRemoved records that the entry is null.
func (p *Location) markRemoved() {
	if p != nil {
		p.Removed = true
	}
}

// child returns the location of the field key, and adds it if missing.
func (p *Location) child(key string) *Location {
	if p == nil {
		return nil
	}
	if p.Fields == nil {
		p.Fields = make(map[string]*Location)
	}
	c := p.Fields[key]
	if c == nil {
		c = &Location{}
		p.Fields[key] = c
	}
	return c
}
