package endpoint

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// errTooLate means that the deadline had passed before the first byte was written.
	errTooLate = errors.New("the deadline passed before the request was sent")
	// errCallEnded means that the call had ended before the first byte was written.
	errCallEnded = errors.New("the call ended before the request was sent")
)

// The states of a writeGuard.
const (
	// guardReady means that nothing was sent and that the call may be written.
	guardReady int32 = iota
	// guardSent means that part of the call may have been sent.
	guardSent
	// guardClosed means that nothing was sent and that nothing will be.
	guardClosed
)

// writeGuard decides atomically whether a call may be written. A call that ends as "not run" is never written
// afterwards, and a call that was written is never reported as "not run".
type writeGuard struct {
	now      func() time.Time
	deadline time.Time
	state    atomic.Int32
}

// allowWrite must be called right before each write. It returns an error if the call must not be written. first
// reports whether this is the first write of the call.
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

// revert undoes the first allowWrite after its write failed without sending a byte. The call then counts as not sent
// and may still be written.
func (g *writeGuard) revert() {
	g.state.CompareAndSwap(guardSent, guardReady)
}

// close ends the call and reports whether part of it may have been sent. If not, nothing will be. It is called when the
// transport has returned an error.
func (g *writeGuard) close() (sent bool) {
	return !g.state.CompareAndSwap(guardReady, guardClosed) && g.state.Load() == guardSent
}

// conn is a connection that checks the guard of the current call before each write.
type conn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write writes p. It returns an error without writing if the deadline of the current call has passed, if the call has
// ended, or if there is no call.
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
