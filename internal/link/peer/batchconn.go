package peer

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

const (
	// maxPendingBytes is the maximum number of bytes that may wait to be written to one peer.
	maxPendingBytes = 8 << 20
	// maxKeptBuffer is the size of the largest buffer that is used again for further writes.
	maxKeptBuffer = 32 << 10
)

// errWriteBacklog means that a peer reads more slowly than this VM writes to it.
var errWriteBacklog = errors.New("write backlog of the peer connection is full")

// batchConn is a connection that writes in batches. Bytes that arrive during a write are collected and written with
// the next one, so that the calls of one query to the same peer share a few writes. A failed write closes the
// connection.
type batchConn struct {
	net.Conn
	// hold is what the pending bytes take of an account; nil means no bound.
	hold *memory.Hold

	mu      sync.Mutex
	pending []byte
	ready   *sync.Cond
	closed  bool
}

// newBatchConn returns a batchConn over c and starts its writer, which runs until Close or a failed write. The bytes that
// wait to be written take memory from hold.
func newBatchConn(c net.Conn, hold *memory.Hold) *batchConn {
	b := &batchConn{Conn: c, hold: hold}
	b.ready = sync.NewCond(&b.mu)
	go b.writeLoop()
	return b
}

// Write queues p and returns without waiting for it to be written. It fails when the connection is closed, when more than
// maxPendingBytes would be pending, or when too little memory is free.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending)+len(p) > maxPendingBytes {
		return 0, errWriteBacklog
	}
	if !b.hold.Take(pendingCharge(p)) {
		return 0, errNoMemory
	}
	b.pending = append(b.pending, p...)
	b.ready.Signal()
	return len(p), nil
}

// Close closes the connection once the pending bytes have been written. It does not wait for that.
func (b *batchConn) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return net.ErrClosed
	}
	b.closed = true
	b.ready.Signal()
	return nil
}

// writeLoop writes the pending bytes until the connection is closed and nothing is pending, or a write fails. It then
// closes the underlying connection.
func (b *batchConn) writeLoop() {
	defer func() { _ = b.Conn.Close() }()
	var chunk []byte
	for {
		var more bool
		if chunk, more = b.nextChunk(chunk[:0]); !more {
			return
		}
		err := b.writeChunk(chunk)
		b.hold.Return(pendingCharge(chunk))
		if err != nil {
			b.fail()
			return
		}
		if cap(chunk) > maxKeptBuffer {
			chunk = nil
		}
	}
}

// pendingCharge returns what an account is charged for bytes that wait to be written.
func pendingCharge(p []byte) unit.Bytes {
	return intake.Holding{Output: unit.Bytes(len(p))}.Charge()
}

// nextChunk waits for pending bytes and returns them. The empty slice spare becomes the new pending buffer. more is
// false when the connection is closed and nothing is pending.
func (b *batchConn) nextChunk(spare []byte) (chunk []byte, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.ready.Wait()
	}
	chunk, b.pending = b.pending, spare
	return chunk, len(chunk) > 0
}

// writeChunk writes one chunk. The write ends after writeTimeout so that a paused peer can't block the connection
// forever.
func (b *batchConn) writeChunk(chunk []byte) error {
	if err := b.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := b.Conn.Write(chunk)
	return err
}

// fail marks the connection as closed and discards the pending bytes. It is called after a failed write.
func (b *batchConn) fail() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.hold.Return(pendingCharge(b.pending))
	b.pending = nil
}
