package endpoint

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// errTooLate means that the deadline had passed when the first byte was to be written.
	errTooLate = errors.New("the deadline passed before the request was sent")
	// errCallEnded means that the call had ended when the first byte was to be written.
	errCallEnded = errors.New("the call ended before the request was sent")
)

// The states of a gate.
const (
	// guardReady means that no byte has left and that bytes may leave.
	guardReady int32 = iota
	// guardSent means that bytes may have left.
	guardSent
	// guardClosed means that no byte has left and that none will.
	guardClosed
)

// writeGuard decides in one step whether a call's bytes may leave, so that a call that ends as "not run" can never be
// written afterwards, and one that was written is never taken for "not run".
type writeGuard struct {
	now      func() time.Time
	deadline time.Time
	state    atomic.Int32
}

// allowWrite is called right before a write; first says that it is the call's first one.
func (g *writeGuard) allowWrite() (first bool, err error) {
	if g.state.Load() == guardSent {
		return false, nil
	}
	if !g.now().Before(g.deadline) {
		g.state.CompareAndSwap(guardReady, guardClosed)
		return false, errTooLate
	}
	if !g.state.CompareAndSwap(guardReady, guardSent) {
		return false, errCallEnded
	}
	return true, nil
}

// revert takes back the first enter, when its write has failed without a byte.
func (g *writeGuard) revert() {
	g.state.CompareAndSwap(guardSent, guardReady)
}

// close ends the call and says whether bytes may have left; if not, none will.
func (g *writeGuard) close() (sent bool) {
	return !g.state.CompareAndSwap(guardReady, guardClosed) && g.state.Load() == guardSent
}

// conn is a connection whose writes pass the gate of the call that uses it.
type conn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write writes p unless the gate is closed.
func (c *conn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errCallEnded
	}
	first, err := g.allowWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		g.revert()
	}
	return n, err
}
