package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

const (
	// compressMinBytes is the size in bytes from which a value is compressed for peers; a routing table shrinks to a tenth.
	compressMinBytes = 4096
	// maxValueBytes bounds a value that is unpacked, in bytes; the registry holds values up to a megabyte.
	maxValueBytes = 8 << 20
)

// compressionCache keeps the compressed form of large values, which many peers ask for at the same time.
type compressionCache struct {
	mu    sync.Mutex
	byKey map[registry.Key]compressedValue
}

// compressedValue is the compressed form of a value at a revision.
type compressedValue struct {
	revision unit.Revision
	value    []byte
}

// compress gives the compressed form of a value.
func (p *compressionCache) compress(i registry.Item) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have, ok := p.byKey[i.Key]; ok && have.revision == i.Revision {
		return have.value
	}
	var b bytes.Buffer
	// Writes to a buffer do not fail.
	w := gzip.NewWriter(&b)
	_, _ = w.Write(i.Value)
	_ = w.Close()
	if p.byKey == nil {
		p.byKey = make(map[registry.Key]compressedValue)
	}
	p.byKey[i.Key] = compressedValue{revision: i.Revision, value: b.Bytes()}
	return b.Bytes()
}

// decompress gives the value of its compressed form.
func decompress(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	all, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err == nil && len(all) > maxValueBytes {
		return nil, errors.Newf("has more than %d bytes", maxValueBytes)
	}
	return all, err
}
