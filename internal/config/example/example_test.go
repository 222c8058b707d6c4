package example

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/folder"
)

// TestExamplesHaveNoProblems checks that the shipped folders have neither errors nor warnings.
func TestExamplesHaveNoProblems(t *testing.T) {
	for _, name := range Names() {
		files, err := Files(name)
		assert.NilError(t, err)
		r := folder.Check(files)
		assert.Equal(t, len(r.Problems), 0, "%s: %v", name, r.Problems)
		assert.Equal(t, len(r.Catalog.Searches), 4)
	}
}
