package fleet

import (
	"fmt"
	"slices"
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

// TestListingRoundTrip checks that values reach a peer unchanged, whether small, compressed or packed, and that a new
// revision does not get the cached form of the last one.
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
			for _, packs := range []bool{false, true} {
				w, err := f.encodeListing(registry.Listing{Position: at(9), Items: tt.items}, packs)
				assert.NilError(t, err)
				got, err := w.decode()
				assert.NilError(t, err)
				assert.DeepEqual(t, got, registry.Listing{Position: at(9), Items: tt.items})
				for _, i := range w.Items {
					assert.Assert(t, len(i.Value) < compressMinBytes)
				}
			}
		})
	}
}

// TestPackedListing checks that many small values are packed for peers that accept it, and only for them, and that a
// value which changes in place is packed again.
func TestPackedListing(t *testing.T) {
	listing := registry.Listing{Position: at(9)}
	size := 0
	for i := range 100 {
		value := []byte(fmt.Sprintf(`{"service":"s%d","address":"10.1.0.%d:8080","zone":"z1","state":"ready"}`, i, i))
		listing.Items = append(listing.Items, registry.Item{Position: at(3), Key: registry.Key(fmt.Sprint("k", i)), Value: value})
		size += len(value)
	}
	f := &Fleet{}
	plain, err := f.encodeListing(listing, false)
	assert.NilError(t, err)
	assert.Equal(t, len(plain.Items), 100)
	assert.Assert(t, plain.Packed == nil)
	packed, err := f.encodeListing(listing, true)
	assert.NilError(t, err)
	assert.Assert(t, packed.Items == nil)
	assert.Assert(t, len(packed.Packed) < size/4, "%d bytes of %d", len(packed.Packed), size)

	changed := listing
	changed.Items = slices.Clone(listing.Items)
	changed.Items[7].Value = []byte(strings.Replace(string(listing.Items[7].Value), "ready", "other", 1))
	for _, want := range []registry.Listing{changed, listing, changed} {
		w, err := f.encodeListing(want, true)
		assert.NilError(t, err)
		got, err := w.decode()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
}

// TestUnpackError checks that a peer's packed items that cannot be read, or are too large, are an error and no empty
// listing.
func TestUnpackError(t *testing.T) {
	tests := []struct {
		name   string
		packed []byte
	}{
		{"nothing", []byte{}},
		{"not in gzip format", []byte("garbage")},
		{"no items", compress([]byte(`{"a": 1}`))},
		{"cut short", compress([]byte(`[{"key":"k"}]`))[:20]},
		{"too large", compress(make([]byte, maxPackedBytes+1))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wireListing{Revision: 1, Packed: tt.packed}.decode()
			assert.Assert(t, err != nil)
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
