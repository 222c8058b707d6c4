package leaf

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
)

const (
	// MaxHeadBytes is the size of the largest head of a reply that is read, in bytes. It includes the interim replies
	// (1xx) before the reply.
	MaxHeadBytes = 64 << 10
	// MaxBodyBytes is the size of the largest body of a reply that is read, in bytes, without the encoding of chunks.
	MaxBodyBytes = 8 << 20
	// MaxChunkOverhead is how many bytes the encoding of a body's chunks may take. It bounds the work for a body of tiny
	// chunks.
	MaxChunkOverhead = 256 << 10
	// readMemoryFactor is how much memory a reply takes for each byte that is read of it: a body that grows is copied.
	readMemoryFactor = 2
	// readBufferSize is the size of a connection's read buffer in bytes. It holds a typical reply.
	readBufferSize = 4096
)

// ErrOversized is the error of a reply whose head or body is larger than the bounds.
var ErrOversized = errors.New("the reply is too large")

// ErrNoMemory is the error of a reply for which too little of the VM's memory for replies is free.
var ErrNoMemory = errors.New("too little memory is free for the reply")

// Reader reads the replies of one connection. An endpoint may send bytes without end, and http.ReadResponse collects a
// head of any size, so the bounds apply as the bytes are read from the connection.
type Reader struct {
	*bufio.Reader
	source *boundedSource
	// bodyStart is the offset in the connection at which the body begins.
	bodyStart int64
}

// NewReader returns a reader of the source, in which a head is expected first. What it reads is taken from the account;
// nil means no bound.
func NewReader(source io.Reader, account *memory.Account) *Reader {
	s := &boundedSource{source: source, account: account, hold: account.NewHold()}
	r := &Reader{Reader: bufio.NewReaderSize(s, readBufferSize), source: s}
	r.BeginHead()
	return r
}

// BeginHead starts the bound on the size of a head, and gives back the memory of the reply before it. It is called before
// the first byte of each reply is read.
func (r *Reader) BeginHead() {
	r.source.left = MaxHeadBytes
	r.source.hold.Release()
}

// PassMemory passes the memory of the reply that has been read to a new hold, which its receiver has to close. It is nil
// without a bound.
func (r *Reader) PassMemory() *memory.Hold {
	hold := r.source.account.NewHold()
	r.source.hold.MoveTo(hold)
	return hold
}

// Close gives back the memory of the reply that is being read. Nothing may be read afterwards.
func (r *Reader) Close() {
	r.source.hold.Close()
}

// CheckBody returns ErrOversized or ErrNoMemory if a body of n bytes can't be taken.
func (r *Reader) CheckBody(n int64) error {
	switch {
	case n > MaxBodyBytes:
		return ErrOversized
	case !r.source.hold.Fits(readMemoryFactor * unit.Bytes(n)):
		return ErrNoMemory
	default:
		return nil
	}
}

// BeginBody starts the bound on the size of a body, after its head was read.
func (r *Reader) BeginBody() {
	r.source.left = MaxBodyBytes + MaxChunkOverhead
	r.bodyStart = r.offset()
}

// BodyBytes returns how many bytes of the connection the body has taken so far, with the encoding of its chunks.
func (r *Reader) BodyBytes() int64 {
	return r.offset() - r.bodyStart
}

// offset returns how many bytes of the connection have been taken from the reader.
func (r *Reader) offset() int64 {
	return r.source.total - int64(r.Buffered())
}

// Err returns the error that ended the reads from the connection, or nil if there is none. Parsers may replace it by
// their own, since they take what was read of a line for the whole line.
func (r *Reader) Err() error {
	return r.source.err
}

// boundedSource reads at most left bytes from a source. Its first error is final: after a reset, the socket itself would
// report the end of the stream, which ends a body without a length.
type boundedSource struct {
	source io.Reader
	left   int64
	// hold has the memory of the reply that is being read, from account.
	account *memory.Account
	hold    *memory.Hold
	// total is the number of bytes read so far.
	total int64
	err   error
}

func (s *boundedSource) Read(p []byte) (n int, err error) {
	if s.err != nil {
		return 0, s.err
	}
	if s.left <= 0 {
		s.err = ErrOversized
		return 0, s.err
	}
	n, s.err = s.source.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.total += int64(n)
	if !s.hold.Take(readMemoryFactor * unit.Bytes(n)) {
		s.err = ErrNoMemory
	}
	return n, s.err
}
