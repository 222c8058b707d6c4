package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
)

const (
	// compressMinBytes is the size from which on a value, or all values of a response, are compressed for peers; a routing
	// table shrinks to a tenth.
	compressMinBytes = 4096
	// maxValueBytes bounds the size of a decompressed value; the registry holds values of up to 1 MB.
	maxValueBytes = 8 << 20
	// maxPackedBytes bounds the size of unpacked items: the registrations of 100,000 endpoints.
	maxPackedBytes = 64 << 20
	// keptPacks is how many packed responses are kept. Followers that are up to date ask for the same one.
	keptPacks = 4
)

// compressionCache holds the compressed form of large values, which many peers request at the same time.
type compressionCache struct {
	mu    sync.Mutex
	byKey map[registry.Key]compressedValue
}

// compressedValue is the compressed form of a value.
type compressedValue struct {
	original   []byte
	compressed []byte
}

// compress returns the compressed form of a value, from the cache if it is the key's last value.
func (c *compressionCache) compress(i registry.Item) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if have, ok := c.byKey[i.Key]; ok && bytes.Equal(have.original, i.Value) {
		return have.compressed
	}
	compressed := compress(i.Value)
	if c.byKey == nil {
		c.byKey = make(map[registry.Key]compressedValue)
	}
	c.byKey[i.Key] = compressedValue{original: i.Value, compressed: compressed}
	return compressed
}

// compress returns the compressed form of a value.
func compress(value []byte) []byte {
	var b bytes.Buffer
	// Writes to a bytes.Buffer never fail.
	w := gzip.NewWriter(&b)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// decompress returns the value of a compressed form, which has at most that many bytes.
func decompress(value []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	all, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err == nil && len(all) > limit {
		return nil, errors.Newf("the decompressed value has more than %d bytes", limit)
	}
	return all, err
}

// packCache holds the last packed responses, which many peers request at the same time.
type packCache struct {
	mu sync.Mutex
	// packs holds the newest response last.
	packs []pack
}

// pack is the packed form of the items of a response.
type pack struct {
	items  []registry.Item
	packed []byte
}

// pack returns the packed items of a listing, from the cache if it has the same ones.
func (c *packCache) pack(l registry.Listing) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	same := func(p pack) bool { return slices.EqualFunc(p.items, l.Items, sameItem) }
	if i := slices.IndexFunc(c.packs, same); i >= 0 {
		return c.packs[i].packed, nil
	}
	items := make([]wireItem, 0, len(l.Items))
	for _, i := range l.Items {
		items = append(items, encodeItem(i))
	}
	content, err := json.Marshal(items)
	if err != nil {
		return nil, errors.Wrap(err, "encode a listing")
	}
	p := pack{items: l.Items, packed: compress(content)}
	c.packs = append(c.packs, p)
	if len(c.packs) > keptPacks {
		c.packs = slices.Delete(c.packs, 0, 1)
	}
	return p.packed, nil
}

// sameItem reports whether two items are the same.
func sameItem(a, b registry.Item) bool {
	return a.Position == b.Position && a.Key == b.Key && a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

// unpack returns the items of a packed response.
func unpack(packed []byte) ([]wireItem, error) {
	content, err := decompress(packed, maxPackedBytes)
	if err != nil {
		return nil, err
	}
	var items []wireItem
	return items, json.Unmarshal(content, &items)
}
