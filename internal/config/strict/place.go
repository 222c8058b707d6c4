package strict

import "strings"

// Location says where a value stands, as a tree of the fields.
type Location struct {
	File string
	Line int
	// Removed marks an entry of a map that is null.
	Removed bool
	// Invalid marks a value that has a problem.
	Invalid bool
	Fields  map[string]*Location
}

// Merge lays the places of a later text over p; a removed entry takes away the entry of p.
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

// Find gives the place of the field at that path, or of the nearest entry around it; exact says which.
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

// setPosition notes where the value stands. A nil place takes this and every other note and keeps none.
func (p *Location) setPosition(file string, line int) {
	if p != nil {
		p.File, p.Line = file, line
	}
}

// markInvalid notes that the value has a problem.
func (p *Location) markInvalid() {
	if p != nil {
		p.Invalid = true
	}
}

// markRemoved notes that the entry is null.
func (p *Location) markRemoved() {
	if p != nil {
		p.Removed = true
	}
}

// child gives the place for key and makes it if need be.
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
