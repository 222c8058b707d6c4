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
	// packFrom is the size in bytes from which a value is compressed for peers; a routing table shrinks to a tenth.
	packFrom = 4096
	// maxValue bounds a value that is unpacked, in bytes; the registry holds values up to a megabyte.
	maxValue = 8 << 20
)

// packs keeps the compressed form of large values, which many peers ask for at the same time.
type packs struct {
	mu    sync.Mutex
	byKey map[registry.Key]packed
}

// packed is the compressed form of a value at a revision.
type packed struct {
	revision unit.Revision
	value    []byte
}

// pack gives the compressed form of a value.
func (p *packs) pack(i registry.Item) []byte {
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
		p.byKey = make(map[registry.Key]packed)
	}
	p.byKey[i.Key] = packed{revision: i.Revision, value: b.Bytes()}
	return b.Bytes()
}

// unpack gives the value of its compressed form.
func unpack(value []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	all, err := io.ReadAll(io.LimitReader(r, maxValue+1))
	if err == nil && len(all) > maxValue {
		return nil, errors.Newf("has more than %d bytes", maxValue)
	}
	return all, err
}
