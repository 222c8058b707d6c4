package example

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/folder"
)

// TestExamplesAreClean checks that the shipped folders have neither errors nor warnings.
func TestExamplesAreClean(t *testing.T) {
	for _, name := range Names() {
		files, err := Files(name)
		assert.NilError(t, err)
		r := folder.Check(files)
		assert.Equal(t, len(r.Problems), 0, "%s: %v", name, r.Problems)
		assert.Equal(t, len(r.Catalog.Searches), 4)
	}
}

// BenchmarkBuild is the time that a node takes to check one whole deployment.
func BenchmarkBuild(b *testing.B) {
	for _, name := range Names() {
		files, err := Files(name)
		assert.NilError(b, err)
		size := 0
		for _, f := range files {
			size += len(f.Content)
		}
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				folder.Build(files)
			}
		})
	}
}
