package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
)

// TestListingRoundTrip checks that values reach a peer unchanged, whether small or compressed, and that a new revision
// does not get the cached form of the last one.
func TestListingRoundTrip(t *testing.T) {
	large := strings.Repeat("route ", compressMinBytes)
	tests := []struct {
		name  string
		items []registry.Item
	}{
		{"nothing", nil},
		{"a small value", []registry.Item{{Key: "k", Value: []byte("v"), Revision: 3}}},
		{"a deletion", []registry.Item{{Key: "k", Revision: 3, Deleted: true}}},
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

// TestDecompressError checks that a value that cannot be decompressed is an error and not an empty value.
func TestDecompressError(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"nothing", ""},
		{"not in gzip format", "garbage"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wireListing{Revision: 1, Items: []wireItem{{Key: "k", Value: []byte(tt.value), Compressed: true}}}.decode()
			assert.Assert(t, err != nil)
		})
	}
}
