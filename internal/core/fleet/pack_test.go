package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
)

// TestListingCrosses checks that values reach a peer as they are, small or compressed, and each revision anew.
func TestListingCrosses(t *testing.T) {
	large := strings.Repeat("route ", compressMinBytes)
	tests := []struct {
		name  string
		items []registry.Item
	}{
		{"nothing", nil},
		{"a small value", []registry.Item{{Key: "k", Value: []byte("v"), Revision: 3}}},
		{"an end", []registry.Item{{Key: "k", Revision: 3, Deleted: true}}},
		{"a large value", []registry.Item{{Key: "k", Value: []byte(large), Revision: 3}}},
		{"a large value at its next revision", []registry.Item{
			{Key: "k", Value: []byte(large), Revision: 3}, {Key: "k", Value: []byte(large + "x"), Revision: 4},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &Fleet{}
			w := f.encodeListing(registry.Listing{Revision: 9, Items: tt.items})
			got, err := w.decode()
			assert.NilError(t, err)
			assert.DeepEqual(t, got, registry.Listing{Revision: 9, Items: tt.items})
			for _, i := range w.Items {
				assert.Assert(t, len(i.Value) < compressMinBytes)
			}
		})
	}
}

// TestBrokenPack checks that a value that cannot be unpacked is an error and not an empty one.
func TestBrokenPack(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"nothing", ""},
		{"no compressed value", "garbage"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wireListing{At: 1, Items: []wireItem{{Key: "k", Value: []byte(tt.value), Compressed: true}}}.decode()
			assert.Assert(t, err != nil)
		})
	}
}
