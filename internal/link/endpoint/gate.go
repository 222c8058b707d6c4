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
	// errGivenUp means that the call had ended when the first byte was to be written.
	errGivenUp = errors.New("the call ended before the request was sent")
)

// The states of a gate.
const (
	// gateReady means that no byte has left and that bytes may leave.
	gateReady int32 = iota
	// gateSent means that bytes may have left.
	gateSent
	// gateClosed means that no byte has left and that none will.
	gateClosed
)

// gate decides in one step whether a call's bytes may leave, so that a call that ends as "not run" can never be
// written afterwards, and one that was written is never taken for "not run".
type gate struct {
	now      func() time.Time
	deadline time.Time
	state    atomic.Int32
}

// enter is called right before a write; first says that it is the call's first one.
func (g *gate) enter() (first bool, err error) {
	if g.state.Load() == gateSent {
		return false, nil
	}
	if !g.now().Before(g.deadline) {
		g.state.CompareAndSwap(gateReady, gateClosed)
		return false, errTooLate
	}
	if !g.state.CompareAndSwap(gateReady, gateSent) {
		return false, errGivenUp
	}
	return true, nil
}

// undo takes back the first enter, when its write has failed without a byte.
func (g *gate) undo() {
	g.state.CompareAndSwap(gateSent, gateReady)
}

// close ends the call and says whether bytes may have left; if not, none will.
func (g *gate) close() (sent bool) {
	return !g.state.CompareAndSwap(gateReady, gateClosed) && g.state.Load() == gateSent
}

// conn is a connection whose writes pass the gate of the call that uses it.
type conn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write writes p unless the gate is closed.
func (c *conn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errGivenUp
	}
	first, err := g.enter()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		g.undo()
	}
	return n, err
}
