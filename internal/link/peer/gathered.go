package peer

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPendingBytes is how many bytes may wait to be written to one peer.
const maxPendingBytes = 8 << 20

// errWriteBacklog means that a peer reads less than is written to it.
var errWriteBacklog = errors.New("too much waits to be written to the peer")

// batchConn is a connection that writes what has gathered during the previous write in one go, so that the calls of
// one query to the same peer share a few writes. A write that fails closes the connection.
type batchConn struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
	ready   *sync.Cond
	closed  bool
}

func newBatchConn(c net.Conn) *batchConn {
	b := &batchConn{Conn: c}
	b.ready = sync.NewCond(&b.mu)
	go b.writeLoop()
	return b
}

// Write takes p to be written; it does not wait for that.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending)+len(p) > maxPendingBytes {
		return 0, errWriteBacklog
	}
	b.pending = append(b.pending, p...)
	b.ready.Signal()
	return len(p), nil
}

// Close writes what has gathered and closes the connection.
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

// writeLoop writes until the connection is closed and nothing is left to write.
func (b *batchConn) writeLoop() {
	defer func() { _ = b.Conn.Close() }()
	var chunk []byte
	for {
		var more bool
		if chunk, more = b.nextChunk(chunk[:0]); !more {
			return
		}
		if b.writeChunk(chunk) != nil {
			b.fail()
			return
		}
	}
}

// nextChunk waits for bytes to write and swaps them for the empty chunk; it says false at the end.
func (b *batchConn) nextChunk(spare []byte) (chunk []byte, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.ready.Wait()
	}
	chunk, b.pending = b.pending, spare
	return chunk, len(chunk) > 0
}

// writeChunk writes one chunk within writeTime, so that a paused peer can't hold the connection for ever.
func (b *batchConn) writeChunk(chunk []byte) error {
	if err := b.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := b.Conn.Write(chunk)
	return err
}

func (b *batchConn) fail() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.pending = nil
}
