package port

import (
	"bytes"
	"sync"
	"syscall"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cockroachdb/errors"
)

// blockSize is the size of the buffers that most requests and responses fit into, and maxCopied that of the largest part of
// a response that is copied into one.
const (
	blockSize = 4 << 10
	maxCopied = blockSize
)

// blocks has free buffers of blockSize bytes.
var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// exchange is a connection as hertz sees it, for one request and its response at a time. It has buffers only between the
// first byte of a request and the last one of its response.
type exchange struct {
	*Conn

	// in is the input that hertz has not skipped yet, from off on. inBlock is its buffer, unless it has outgrown that.
	in      []byte
	off     int
	inBlock *[blockSize]byte
	// out are the parts of the response that wait for Flush. The last one grows in outBlock if outBlock is not nil.
	out      [][]byte
	outBlock *[blockSize]byte
	// failed reports whether a read has failed, so that no further request can come.
	failed bool
}

// Len returns how many bytes of input can be peeked at without a read.
func (x *exchange) Len() int {
	return len(x.in) - x.off
}

// fill reads until n bytes of input can be peeked at. Slices that Peek has returned stay valid.
func (x *exchange) fill(n int) error {
	for x.Len() < n {
		if len(x.in) == cap(x.in) {
			x.grow()
		}
		m, err := x.Conn.Read(x.in[len(x.in):cap(x.in)])
		x.in = x.in[:len(x.in)+m]
		if err != nil {
			x.failed = true
			return err
		}
	}
	return nil
}

// grow moves the input to a buffer with room for more. A large buffer is made only for input that has come, not for what
// a caller states that it will send.
func (x *exchange) grow() {
	if x.in == nil {
		x.inBlock = blocks.Get().(*[blockSize]byte)
		x.in = x.inBlock[:0]
		return
	}
	larger := make([]byte, x.Len(), x.Len()+max(x.assembly.available(), x.Len(), blockSize))
	copy(larger, x.in[x.off:])
	x.in, x.off = larger, 0
}

// Peek returns the next n bytes of input, which stay until Release.
func (x *exchange) Peek(n int) ([]byte, error) {
	if err := x.fill(n); err != nil {
		return nil, err
	}
	return x.in[x.off : x.off+n], nil
}

// Skip discards the next n bytes of input.
func (x *exchange) Skip(n int) error {
	if n > x.Len() {
		return errors.New("skip beyond the input that has come")
	}
	x.off += n
	return nil
}

// ReadByte returns the next byte of input.
func (x *exchange) ReadByte() (byte, error) {
	b, err := x.Peek(1)
	if err != nil {
		return 0, err
	}
	x.off++
	return b[0], nil
}

// ReadBinary returns a copy of the next n bytes of input.
func (x *exchange) ReadBinary(n int) ([]byte, error) {
	b, err := x.Peek(n)
	if err != nil {
		return nil, err
	}
	x.off += n
	return bytes.Clone(b), nil
}

// Read reads input.
func (x *exchange) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if x.Len() == 0 && len(b) > blockSize {
		n, err := x.Conn.Read(b)
		x.failed = x.failed || err != nil
		return n, err
	}
	if err := x.fill(1); err != nil {
		return 0, err
	}
	n := copy(b, x.in[x.off:])
	x.off += n
	return n, x.Release()
}

// Release ends the use of what Peek has returned, and gives up the buffer unless it has further input.
func (x *exchange) Release() error {
	if x.Len() > 0 {
		return nil
	}
	x.in, x.off = nil, 0
	if x.inBlock != nil {
		blocks.Put(x.inBlock)
		x.inBlock = nil
	}
	return nil
}

// Malloc returns a buffer of n bytes of the response.
func (x *exchange) Malloc(n int) ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	if n > blockSize {
		x.append(make([]byte, n))
		return x.out[len(x.out)-1], nil
	}
	if x.outBlock != nil {
		last := &x.out[len(x.out)-1]
		if at := len(*last); n <= cap(*last)-at {
			*last = (*last)[:at+n]
			return (*last)[at:], nil
		}
	}
	block := blocks.Get().(*[blockSize]byte)
	x.append(block[:n])
	x.outBlock = block
	return block[:n], nil
}

// append adds a part to the response, which nothing is added to.
func (x *exchange) append(part []byte) {
	x.out, x.outBlock = append(x.out, part), nil
}

// WriteBinary adds b to the response. It must not change until Flush.
//
// The interim response is left out: hertz has the whole body by then, or refuses it.
func (x *exchange) WriteBinary(b []byte) (int, error) {
	if string(b) == interimResponse {
		return len(b), nil
	}
	if len(b) >= maxCopied {
		x.append(b)
		return len(b), nil
	}
	part, err := x.Malloc(len(b))
	return copy(part, b), err
}

// Flush writes the response so far and gives up its buffers.
func (x *exchange) Flush() error {
	defer x.dropOutput()
	for i, part := range x.out {
		if _, err := x.Conn.Write(part); err != nil {
			return err
		}
		x.out[i] = nil
	}
	return nil
}

// dropOutput gives up the response and its buffers.
func (x *exchange) dropOutput() {
	if x.outBlock != nil {
		blocks.Put(x.outBlock)
	}
	x.out, x.outBlock = nil, nil
}

// Write writes b behind the response so far.
func (x *exchange) Write(b []byte) (int, error) {
	if err := x.Flush(); err != nil {
		return 0, err
	}
	return x.Conn.Write(b)
}

// Close does nothing. Hertz calls it after each request; the transport closes the connection.
func (x *exchange) Close() error {
	return nil
}

// SetReadTimeout bounds the wait of each further read; 0 means no bound.
func (x *exchange) SetReadTimeout(timeout time.Duration) error {
	if timeout <= 0 {
		return x.SetReadDeadline(time.Time{})
	}
	return x.SetReadDeadline(time.Now().Add(timeout))
}

// SetWriteTimeout bounds further writes; 0 means no bound.
func (x *exchange) SetWriteTimeout(timeout time.Duration) error {
	if timeout <= 0 {
		return x.SetWriteDeadline(time.Time{})
	}
	return x.SetWriteDeadline(time.Now().Add(timeout))
}

// ToHertzError returns hertz's error for a failed write.
func (*exchange) ToHertzError(err error) error {
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN) {
		return hertzerrors.ErrConnectionClosed
	}
	return err
}

// HandleSpecificError reports whether hertz need not log the error, since the caller has left.
func (*exchange) HandleSpecificError(err error, _ string) (ignore bool) {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// end ends a request that has been answered. It returns false if too little memory is free for what has come of the next
// one.
func (x *exchange) end() bool {
	x.dropOutput()
	_ = x.Release()
	return x.endRequest(x.in[x.off:])
}
