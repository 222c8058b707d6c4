package leaf

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for closing a connection.
var (
	errUnexpectedData = errors.New("the endpoint sent data although no call was in flight")
	errClosed         = errors.New("the connection was closed by this VM")
	errManySurplus    = errors.New("the endpoint sent too many replies to other requests")
)

// conn is a connection to an endpoint. Its own goroutine reads all incoming data, so that it notices at once when the
// endpoint closes the connection, even if no call is in flight.
type conn struct {
	net.Conn
	pool *Pool
	host *hostPool
	r    *Reader
	// carried holds the requests of earlier calls. Only the goroutine that starts a call may use it, and the pool while no
	// call is on the connection.
	carried carriedRequests

	mu     sync.Mutex
	flight *Flight
	// surplus is the number of replies to other requests since the last reply to a call. Only readLoop uses it.
	surplus int
	// writing is set while a call is being written. replyRead is set if the complete reply arrives during the write.
	writing   bool
	replyRead bool
	closed    bool
	// idleSince is when the connection became idle. idleTimeout is how long it may stay idle; 0 means unknown.
	idleSince   time.Time
	idleTimeout time.Duration
}

// startCall starts a call on an idle connection and writes it. It returns false, with nothing sent, if the connection
// is closed, or the call was abandoned or may not be sent any more.
func (c *conn) startCall(now time.Time, f *Flight) bool {
	if f.withdrawUnlessAllowed(now) {
		return false
	}
	c.mu.Lock()
	if c.closed || !f.attach(c) {
		c.mu.Unlock()
		return false
	}
	c.flight = f
	c.writing = true
	c.carried.add(f.id)
	c.mu.Unlock()
	c.writeCall(now, f)
	return true
}

// writeCall writes the call. If that fails, it closes the connection, and the result depends on whether any byte was
// sent.
func (c *conn) writeCall(now time.Time, f *Flight) {
	data := c.pool.Encode(f.call, now)
	f.dropMessage()
	n, err := c.writeBytes(data, f.call.Deadline)
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

// writeBytes writes data. An endpoint that does not read can block a large write until the given time at most. n is the
// number of bytes written, also if there is an error.
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

// finishWrite records that the call was written in full, and releases the connection if the reply has been read
// already. An endpoint may reply before it has read the whole call and continue to read afterwards, so the connection
// is not released before this point.
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

// limitReplyWait sets the time until which the reply to an abandoned call is awaited. After it, the connection is
// closed. It has no effect if the connection has another call by then.
func (c *conn) limitReplyWait(f *Flight, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flight == f {
		_ = c.SetReadDeadline(until)
	}
}

// readLoop reads replies until the connection fails or is closed.
func (c *conn) readLoop() {
	defer c.pool.wg.Done()
	defer c.r.Close()
	for {
		if partial, err := c.readReply(); err != nil {
			c.fail(partial, err)
			return
		}
	}
}

// readReply waits for data, reads one reply and completes its call. A reply with another request ID is a surplus reply
// to an earlier call: it is counted and discarded, and readReply returns nil with the current call still in flight.
// More than maxSurplusReplies of them are an error, as are data that arrives while no call is in flight and a reply that
// cannot be decoded. After an error the connection must be closed; partial is what is known of the call's reply then.
func (c *conn) readReply() (partial Reply, err error) {
	c.r.BeginHead()
	if _, err := c.r.Peek(1); err != nil {
		return Reply{}, errors.Wrap(err, "wait for the endpoint")
	}
	c.mu.Lock()
	f := c.flight
	c.mu.Unlock()
	if f == nil {
		return Reply{}, errUnexpectedData
	}
	reply, err := c.pool.Decode(c.pool.Now(), c.r, f.method)
	if err != nil {
		if reply.ID != f.id {
			reply = Reply{}
		}
		return reply, errors.Wrap(err, "read the endpoint's reply")
	}
	if reply.ID != f.id {
		// The reply to this call follows the surplus reply.
		c.pool.count("leaf.surplus")
		if c.surplus++; c.surplus > maxSurplusReplies {
			return Reply{}, errManySurplus
		}
		return Reply{}, nil
	}
	c.surplus = 0
	reply.Memory = c.r.PassMemory()
	c.finishCall(f, reply)
	return Reply{}, nil
}

// finishCall completes the call with its reply. It releases the connection, or closes it if it accepts no further call.
// If the call is still being written, finishWrite releases the connection later.
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
	received := false
	if reply.endsUse() {
		// Calls that wait for this connection must see the effect of the reply.
		received = f.complete(Result{Kind: KindReply, Reply: reply})
		c.pool.withdrawWaiting(now, c.host)
	}
	switch {
	case idle:
		c.pool.release(c)
	case !reusable:
		c.pool.count("leaf.closed.last")
		c.closeOnce()
	}
	if !f.complete(Result{Kind: KindReply, Reply: reply}) && !received {
		reply.Memory.Close()
	}
}

// fail closes the connection and completes its call, if it has one, as lost with what is known of its reply, since the
// endpoint may have executed it. It is called when a read fails and when the pool closes.
func (c *conn) fail(partial Reply, err error) {
	c.mu.Lock()
	f := c.flight
	c.flight = nil
	// In the same step, so that no call can start on the connection, which nothing would complete.
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	c.pool.count("leaf.closed." + closeReason(err, f != nil))
	if !closed {
		c.disconnect()
	}
	if f != nil {
		f.complete(Result{Kind: KindLost, Reply: partial, Err: err})
	}
}

// closeReason returns the last part of the name of the counter "leaf.closed.*" for the reason why a connection ended.
// busy reports whether a call was in flight.
func closeReason(err error, busy bool) string {
	var timeout net.Error
	switch {
	case errors.IsAny(err, errUnexpectedData, errManySurplus):
		return "surplus"
	case errors.Is(err, ErrOversized):
		return "oversized"
	case errors.Is(err, ErrNoMemory):
		return "memory"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "abandoned"
	case busy:
		return "broken"
	default:
		return "idle"
	}
}

// closeOnce closes the connection and removes it from the pool. Only the first call has an effect. It does not complete
// the call in flight; readLoop does so when its read fails.
func (c *conn) closeOnce() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if !closed {
		c.disconnect()
	}
}

// disconnect closes the connection and removes it from the pool. It is called once, after closed has been set.
func (c *conn) disconnect() {
	_ = c.Close()
	c.pool.remove(c)
}

// isStale reports whether the idle connection must not be used for a new call: it is closed, or the endpoint may be
// about to close it, since its idle timeout has almost passed.
func (c *conn) isStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || (c.idleTimeout > 0 && now.Sub(c.idleSince) > c.idleTimeout-min(idleMargin, c.idleTimeout/4))
}
