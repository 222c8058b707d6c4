package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// at returns a position of the first era.
func at(revision unit.Revision) unit.Position {
	return unit.Position{Revision: revision}
}

// TestListingRoundTrip checks that values reach a peer unchanged, whether small or compressed, and that a new revision
// does not get the cached form of the last one.
func TestListingRoundTrip(t *testing.T) {
	large := strings.Repeat("route ", compressMinBytes)
	tests := []struct {
		name  string
		items []registry.Item
	}{
		{"nothing", nil},
		{"a small value", []registry.Item{{Position: at(3), Key: "k", Value: []byte("v")}}},
		{"a deletion", []registry.Item{{Position: at(3), Key: "k", Deleted: true}}},
		{"a large value", []registry.Item{{Position: at(3), Key: "k", Value: []byte(large)}}},
		{"a large value at its next revision", []registry.Item{
			{Position: at(3), Key: "k", Value: []byte(large)}, {Position: at(4), Key: "k", Value: []byte(large + "x")},
		}},
		{"a large value of a later era at the same revision", []registry.Item{
			{Position: at(3), Key: "k", Value: []byte(large)}, {Position: at(3), Key: "k", Value: []byte(large + "x")},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &Fleet{}
			w := f.encodeListing(registry.Listing{Position: at(9), Items: tt.items})
			got, err := w.decode()
			assert.NilError(t, err)
			assert.DeepEqual(t, got, registry.Listing{Position: at(9), Items: tt.items})
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
