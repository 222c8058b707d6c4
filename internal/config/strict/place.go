package strict

import "strings"

// Place says where a value stands, as a tree of the fields.
type Place struct {
	File string
	Line int
	// Removed marks an entry of a map that is null.
	Removed bool
	// Bad marks a value that has a problem.
	Bad    bool
	Fields map[string]*Place
}

// Merge lays the places of a later text over p; a removed entry takes away the entry of p.
func (p *Place) Merge(from *Place) {
	p.File, p.Line = from.File, from.Line
	p.Bad = p.Bad || from.Bad
	for key, c := range from.Fields {
		if c.Removed {
			delete(p.Fields, key)
			continue
		}
		p.child(key).Merge(c)
	}
}

// Find gives the place of the field at that path, or of the nearest entry around it; exact says which.
func (p *Place) Find(path string) (at *Place, exact bool) {
	if p == nil {
		return &Place{}, false
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

// set notes where the value stands. A nil place takes this and every other note and keeps none.
func (p *Place) set(file string, line int) {
	if p != nil {
		p.File, p.Line = file, line
	}
}

// spoil notes that the value has a problem.
func (p *Place) spoil() {
	if p != nil {
		p.Bad = true
	}
}

// remove notes that the entry is null.
func (p *Place) remove() {
	if p != nil {
		p.Removed = true
	}
}

// child gives the place for key and makes it if need be.
func (p *Place) child(key string) *Place {
	if p == nil {
		return nil
	}
	if p.Fields == nil {
		p.Fields = make(map[string]*Place)
	}
	c := p.Fields[key]
	if c == nil {
		c = &Place{}
		p.Fields[key] = c
	}
	return c
}
