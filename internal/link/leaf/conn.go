package leaf

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which a connection ends.
var (
	errUnexpectedData = errors.New("the endpoint sent bytes that no call waits for")
	errClosed         = errors.New("the connection was closed by this VM")
)

// conn is one connection to an endpoint. Its own goroutine reads all that the endpoint sends, so that an end of the
// connection is seen at once, also while no call is under way.
type conn struct {
	net.Conn
	pool *Pool
	host *hostPool
	r    *bufio.Reader

	mu     sync.Mutex
	flight *Flight
	// writing is set while a call's bytes are being written, and answered once the whole reply has come meanwhile.
	writing   bool
	replyRead bool
	closed    bool
	// idleSince is when the connection became free, and idleLimit how long it may stay so; 0 is not known.
	idleSince   time.Time
	idleTimeout time.Duration
}

// startCall starts a call on a free connection and writes it. It says false when the connection is closed or the call has
// been abandoned; nothing has left then.
func (c *conn) startCall(now time.Time, f *Flight) bool {
	c.mu.Lock()
	if c.closed || !f.attach(c) {
		c.mu.Unlock()
		return false
	}
	c.flight = f
	c.writing = true
	c.mu.Unlock()
	c.writeCall(now, f)
	return true
}

// writeCall sends the call's bytes. A failure closes the connection; what becomes of the call depends on whether any byte
// has left.
func (c *conn) writeCall(now time.Time, f *Flight) {
	n, err := c.writeBytes(c.pool.Encode(f.call, now), f.call.Deadline)
	if err == nil {
		c.finishWrite()
		return
	}
	kind := KindLost
	if n == 0 {
		kind = KindNotSent
	}
	c.mu.Lock()
	c.writing = false
	if c.flight == f {
		c.flight = nil
	}
	c.mu.Unlock()
	c.closeOnce()
	f.complete(Result{Kind: kind, Err: errors.Wrap(err, "write to the endpoint")})
}

// writeBytes writes bytes; a peer that does not read holds a large write up until a time at the most.
func (c *conn) writeBytes(data []byte, until time.Time) (n int, err error) {
	if len(data) <= smallWriteSize {
		return c.Write(data)
	}
	if err := c.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	if n, err = c.Write(data); err != nil {
		return n, err
	}
	return n, c.SetWriteDeadline(time.Time{})
}

// finishWrite takes that all bytes of a call have left. An endpoint may reply before it has read them all, and reads on
// later, so the connection is not free earlier.
func (c *conn) finishWrite() {
	c.mu.Lock()
	c.writing = false
	idle := c.replyRead
	c.replyRead = false
	c.mu.Unlock()
	if idle {
		c.pool.release(c)
	}
}

// limitReplyWait bounds the wait for the reply of a call that was abandoned.
func (c *conn) limitReplyWait(f *Flight, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight == f {
		_ = c.SetReadDeadline(until)
	}
}

// readLoop reads replies until the connection ends.
func (c *conn) readLoop() {
	defer c.pool.wg.Done()
	for {
		if err := c.readReply(); err != nil {
			c.fail(err)
			return
		}
	}
}

// readReply reads one reply and ends its call with it.
func (c *conn) readReply() error {
	if _, err := c.r.Peek(1); err != nil {
		return errors.Wrap(err, "wait for the endpoint")
	}
	c.mu.Lock()
	f := c.flight
	c.mu.Unlock()
	if f == nil {
		return errUnexpectedData
	}
	reply, err := c.pool.Decode(c.r, f.call.Message.Method)
	if err != nil {
		return errors.Wrap(err, "read the endpoint's reply")
	}
	if reply.ID != f.call.Message.ID {
		// A surplus reply to an earlier call; the one that belongs to this call follows.
		c.pool.count("leaf.surplus")
		return nil
	}
	c.finishCall(f, reply)
	return nil
}

// finishCall frees the connection, or closes it when it cannot take a further call, and ends the call.
func (c *conn) finishCall(f *Flight, reply Reply) {
	now := c.pool.Now()
	c.mu.Lock()
	c.flight = nil
	reusable := !reply.ClosesConnection && c.r.Buffered() == 0 && !c.closed
	c.replyRead = reusable && c.writing
	idle := reusable && !c.writing
	_ = c.SetReadDeadline(time.Time{})
	c.idleSince = now
	if reply.IdleTimeout > 0 {
		c.idleTimeout = reply.IdleTimeout
	}
	c.mu.Unlock()
	switch {
	case idle:
		c.pool.release(c)
	case !reusable:
		c.pool.count("leaf.closed.last")
		c.closeOnce()
	}
	f.complete(Result{Kind: KindReply, Reply: reply})
}

// fail closes the connection and ends its call, which may have run.
func (c *conn) fail(err error) {
	c.mu.Lock()
	f := c.flight
	c.flight = nil
	c.mu.Unlock()
	c.pool.count("leaf.closed." + closeReason(err, f != nil))
	c.closeOnce()
	if f != nil {
		f.complete(Result{Kind: KindLost, Err: err})
	}
}

// closeReason names the end of a connection for the counters.
func closeReason(err error, busy bool) string {
	var timeout net.Error
	switch {
	case errors.Is(err, errUnexpectedData):
		return "surplus"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "abandoned"
	case busy:
		return "broken"
	default:
		return "idle"
	}
}

// closeOnce closes the connection and has the pool forget it; further calls do nothing.
func (c *conn) closeOnce() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	_ = c.Close()
	c.pool.remove(c)
}

// isStale says whether the endpoint may be about to close the free connection.
func (c *conn) isStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || (c.idleTimeout > 0 && now.Sub(c.idleSince) > c.idleTimeout-min(idleMargin, c.idleTimeout/4))
}
