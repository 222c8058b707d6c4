package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
)

const (
	// compressMinBytes is the size from which on a value is compressed for peers; a routing table shrinks to a tenth.
	compressMinBytes = 4096
	// maxValueBytes bounds the size of a decompressed value; the registry holds values of up to 1 MB.
	maxValueBytes = 8 << 20
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
	var b bytes.Buffer
	// Writes to a bytes.Buffer never fail.
	w := gzip.NewWriter(&b)
	_, _ = w.Write(i.Value)
	_ = w.Close()
	if c.byKey == nil {
		c.byKey = make(map[registry.Key]compressedValue)
	}
	c.byKey[i.Key] = compressedValue{original: i.Value, compressed: b.Bytes()}
	return b.Bytes()
}

// decompress returns the value of a compressed form.
func decompress(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	all, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err == nil && len(all) > maxValueBytes {
		return nil, errors.Newf("the decompressed value has more than %d bytes", maxValueBytes)
	}
	return all, err
}
