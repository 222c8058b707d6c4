package kernel

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLookupKeepsEveryError checks that Err reports every failed lookup, not only the first or the last.
func TestLookupKeepsEveryError(t *testing.T) {
	tests := []struct {
		name   string
		lookup func(f *Finder)
		errors []string
	}{
		{"found", func(f *Finder) { assert.Equal(t, Lookup[int](f, "number"), 7) }, nil},
		{"unknown", func(f *Finder) { Lookup[int](f, "other") }, []string{`"other" is not registered`}},
		{"another type", func(f *Finder) { Lookup[string](f, "number") }, []string{`"number" is a int`}},
		{
			"two unknown",
			func(f *Finder) { _, _ = Lookup[int](f, "one"), Lookup[int](f, "two") },
			[]string{`"one" is not registered`, `"two" is not registered`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := New()
			assert.NilError(t, k.Register(Service{Name: "number", Value: 7}))
			f := NewFinder(k)
			tt.lookup(f)
			assert.Equal(t, f.Err() != nil, len(tt.errors) > 0)
			for _, text := range tt.errors {
				assert.ErrorContains(t, f.Err(), text)
			}
		})
	}
}
