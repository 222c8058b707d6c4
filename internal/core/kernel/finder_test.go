package kernel

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLookKeepsEveryFailure(t *testing.T) {
	tests := []struct {
		name  string
		look  func(f *Finder)
		fault []string
	}{
		{"found", func(f *Finder) { assert.Equal(t, Lookup[int](f, "number"), 7) }, nil},
		{"unknown", func(f *Finder) { Lookup[int](f, "other") }, []string{`"other" is not registered`}},
		{"another type", func(f *Finder) { Lookup[string](f, "number") }, []string{`"number" is a int`}},
		{
			"two of them",
			func(f *Finder) { _, _ = Lookup[int](f, "one"), Lookup[int](f, "two") },
			[]string{`"one" is not registered`, `"two" is not registered`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := New()
			assert.NilError(t, k.Register(Service{Name: "number", Value: 7}))
			f := NewFinder(k)
			tt.look(f)
			assert.Equal(t, f.Err() != nil, len(tt.fault) > 0)
			for _, text := range tt.fault {
				assert.ErrorContains(t, f.Err(), text)
			}
		})
	}
}
