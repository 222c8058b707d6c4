package peer

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPending is how many bytes may wait to be written to one peer.
const maxPending = 8 << 20

// errStuck means that a peer reads less than is written to it.
var errStuck = errors.New("too much waits to be written to the peer")

// gathered is a connection that writes what has gathered during the previous write in one go, so that the calls of
// one query to the same peer share a few writes. A write that fails closes the connection.
type gathered struct {
	net.Conn

	mu      sync.Mutex
	pending []byte
	ready   *sync.Cond
	closed  bool
}

func newGathered(c net.Conn) *gathered {
	g := &gathered{Conn: c}
	g.ready = sync.NewCond(&g.mu)
	go g.run()
	return g
}

// Write takes p to be written; it does not wait for that.
func (g *gathered) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, net.ErrClosed
	}
	if len(g.pending)+len(p) > maxPending {
		return 0, errStuck
	}
	g.pending = append(g.pending, p...)
	g.ready.Signal()
	return len(p), nil
}

// Close writes what has gathered and closes the connection.
func (g *gathered) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return net.ErrClosed
	}
	g.closed = true
	g.ready.Signal()
	return nil
}

// run writes until the connection is closed and nothing is left to write.
func (g *gathered) run() {
	defer func() { _ = g.Conn.Close() }()
	var chunk []byte
	for {
		var more bool
		if chunk, more = g.take(chunk[:0]); !more {
			return
		}
		if g.flush(chunk) != nil {
			g.fail()
			return
		}
	}
}

// take waits for bytes to write and swaps them for the empty chunk; it says false at the end.
func (g *gathered) take(empty []byte) (chunk []byte, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.pending) == 0 && !g.closed {
		g.ready.Wait()
	}
	chunk, g.pending = g.pending, empty
	return chunk, len(chunk) > 0
}

// flush writes one chunk within writeTime, so that a paused peer can't hold the connection for ever.
func (g *gathered) flush(chunk []byte) error {
	if err := g.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return err
	}
	_, err := g.Conn.Write(chunk)
	return err
}

func (g *gathered) fail() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.pending = nil
}
