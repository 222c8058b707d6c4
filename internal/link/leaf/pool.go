package leaf

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
)

const (
	// dialTimeout bounds the setup of a connection. A paused endpoint accepts within it.
	dialTimeout = 400 * time.Millisecond
	// abandonedReplyTimeout is how long to wait for the reply to an abandoned call, so that the connection can be
	// reused. It is below the 500 ms after which an endpoint must not work for a caller that has disconnected.
	abandonedReplyTimeout = 300 * time.Millisecond
	// idleMargin is how long before the endpoint's idle timeout an idle connection is closed, but at most a quarter of
	// that timeout.
	idleMargin = time.Second
	// tcpUserTimeout is how long sent data may stay unacknowledged before the connection counts as broken.
	tcpUserTimeout = 2 * time.Second
	// maxWaiting is the number of calls that may wait for a connection to one endpoint. If more wait, the endpoint is
	// slow, and another endpoint is the better choice.
	maxWaiting = 4
	// maxSurplusReplies is the number of replies to other requests that may precede the reply to a call.
	maxSurplusReplies = 4
	// smallWriteSize is the size in bytes up to which a call fits into the socket's buffer, so that its write cannot
	// block.
	smallWriteSize = 8192
)

// ErrFull is the error of a call that could not be sent because all connections that this VM may open to the endpoint
// are in use.
var ErrFull = errors.New("all connections to the endpoint are in use")

// errAbandoned is the error of a call that was abandoned before it was sent.
var errAbandoned = errors.New("the call was abandoned before it was sent")

// errWithdrawn is the error of a call to an endpoint that takes no further calls.
var errWithdrawn = errors.New("the endpoint takes no further calls")

// Pool manages the connections to all endpoints. The function fields are its seams.
type Pool struct {
	// Now returns the current time.
	Now func() time.Time
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Encode returns the encoded call.
	Encode func(c Call, now time.Time) []byte
	// Decode reads one complete reply, which began to arrive at now, to a request with the given method.
	Decode func(now time.Time, r *Reader, method string) (Reply, error)
	// Count increments the counter with the given name.
	Count func(name string)
	// Memory bounds what the replies take that are being read or have not been released; nil means no bound.
	Memory *memory.Account

	mu     sync.Mutex
	hosts  map[unit.Address]*hostPool
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// hostPool holds the connections to one address.
type hostPool struct {
	address unit.Address
	// idle holds the connections without a call, the most recently used last.
	idle []*conn
	all  map[*conn]bool
	// dialling is the number of connections that are being opened.
	dialling int
	// waiting holds the calls that wait for a connection, in order of arrival.
	waiting []*Flight
}

// New returns a pool that connects over TCP.
func New(now func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		Now:    now,
		Dial:   dialer.DialContext,
		hosts:  make(map[unit.Address]*hostPool),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Service returns the pool as a service with the given name.
func (p *Pool) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: p, Close: p.Close}
}

// setUserTimeout sets the TCP user timeout, which bounds how long a broken connection goes unnoticed while sent data
// is unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// Send starts a call without waiting for its result. It calls done exactly once, possibly before Send returns.
func (p *Pool) Send(now time.Time, call Call, done func(Result)) *Flight {
	f := &Flight{id: call.Message.ID, method: call.Message.Method, call: call, done: done}
	p.startOrQueue(now, f)
	return f
}

// startOrQueue starts the call on an idle connection, opens a connection for it, or queues it until one is released.
func (p *Pool) startOrQueue(now time.Time, f *Flight) {
	for !f.isAbandoned() {
		c, step := p.acquire(now, f)
		switch step {
		case stepDial:
			go p.dialAndStart(f)
			return
		case stepWait:
			return
		case stepReject:
			f.complete(Result{Kind: KindNotSent, Err: ErrFull})
			return
		case stepReplace:
			p.count("leaf.closed.repeated")
			c.closeOnce()
			continue
		}
		if c.startCall(now, f) {
			return
		}
		if f.isAbandoned() {
			p.release(c)
		}
	}
	f.complete(Result{Kind: KindNotSent, Err: errAbandoned})
}

// Warm opens a connection to the address in the background after a delay, unless the pool has one or is opening one by
// then. A failure is not retried; the next call or Warm tries again.
func (p *Pool) Warm(address unit.Address, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		select {
		case <-time.After(after):
			p.connectIfNone(address)
		case <-p.ctx.Done():
		}
	}()
}

// connectIfNone opens a connection to the address unless there is one or one is being opened.
func (p *Pool) connectIfNone(address unit.Address) {
	p.mu.Lock()
	h := p.hostPool(address)
	if p.closed || len(h.all)+h.dialling > 0 {
		p.mu.Unlock()
		return
	}
	h.dialling++
	p.wg.Add(1)
	p.mu.Unlock()
	if c, err := p.dial(address); err == nil {
		p.release(c)
	}
}

// Retain closes the idle connections to all addresses that are not in keep. Connections with a call in flight stay. It
// also ends the calls that wait for a connection and may not be sent any more, so that they need not wait for one.
func (p *Pool) Retain(now time.Time, keep map[unit.Address]bool) {
	var gone []*conn
	var waiting []*hostPool
	p.mu.Lock()
	for address, h := range p.hosts {
		if len(h.waiting) > 0 {
			waiting = append(waiting, h)
		}
		if !keep[address] {
			gone = append(gone, h.idle...)
			h.idle = nil
			p.removeIfEmpty(h)
		}
	}
	p.mu.Unlock()
	for _, c := range gone {
		c.closeOnce()
	}
	for _, h := range waiting {
		p.withdrawWaiting(now, h)
	}
}

// Close closes all connections and waits for their goroutines to exit. Waiting calls end as not sent, and calls that
// were sent end as lost.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	var all []*conn
	var waiting []*Flight
	for _, h := range p.hosts {
		for c := range h.all {
			all = append(all, c)
		}
		waiting = append(waiting, h.waiting...)
		h.waiting = nil
	}
	p.mu.Unlock()
	p.cancel()
	failUnsent(waiting, errClosed)
	for _, c := range all {
		c.fail(Reply{}, errClosed)
	}
	p.wg.Wait()
	return nil
}

// nextStep is how to proceed with a call that needs a connection.
type nextStep int

const (
	// stepStart starts the call on the returned connection.
	stepStart nextStep = iota
	// stepDial opens a new connection for the call.
	stepDial
	// stepWait leaves the call in the queue for a connection.
	stepWait
	// stepReject completes the call as not sent.
	stepReject
	// stepReplace closes the returned connection, so that a new one can be opened for the call.
	stepReplace
)

// acquire returns an idle connection with stepStart or stepReplace, or nil and how to proceed without one. For stepDial,
// it has already counted the new connection towards the limit, and for stepWait, it has queued the call. It also closes
// stale connections and completes the waiting calls that were abandoned.
//
// A connection that has carried a call for the same request is not used for another one, see carriedRequests.
func (p *Pool) acquire(now time.Time, f *Flight) (*conn, nextStep) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostPool(f.call.Address)
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		switch {
		case c.isStale(now):
			h.idle = slices.Delete(h.idle, i, i+1)
			go c.closeOnce()
		case !c.carried.has(f.id):
			h.idle = slices.Delete(h.idle, i, i+1)
			return c, stepStart
		}
	}
	h.waiting = slices.DeleteFunc(h.waiting, (*Flight).completeAbandoned)
	switch {
	case p.closed:
		return nil, stepReject
	case len(h.all)+h.dialling < f.call.MaxConnections:
		h.dialling++
		p.wg.Add(1)
		return nil, stepDial
	case len(h.idle) > 0:
		c := h.idle[0]
		h.idle = slices.Delete(h.idle, 0, 1)
		return c, stepReplace
	case len(h.waiting) < maxWaiting:
		h.waiting = append(h.waiting, f)
		f.startWaitTimer()
		return nil, stepWait
	default:
		return nil, stepReject
	}
}

// dialAndStart opens a connection for a flight and starts its call on it. If that fails, the call ends as not sent. The
// connection must have been counted as being opened.
func (p *Pool) dialAndStart(f *Flight) {
	c, err := p.dial(f.call.Address)
	if err != nil {
		f.complete(Result{Kind: KindNotSent, Err: errors.Wrap(err, "connect to the endpoint")})
		return
	}
	if !c.startCall(p.Now(), f) {
		p.release(c)
		f.complete(Result{Kind: KindNotSent, Err: errAbandoned})
	}
}

// dial opens a connection that acquire or another caller has already counted, and starts its read loop. If it fails and
// the address has no other connection, it also ends the calls that wait for one as not sent.
func (p *Pool) dial(address unit.Address) (*conn, error) {
	p.count("leaf.connect")
	raw, err := p.Dial(p.ctx, "tcp", string(address))
	p.mu.Lock()
	h := p.hostPool(address)
	h.dialling--
	if err == nil && p.closed {
		_ = raw.Close()
		err = errClosed
	}
	if err != nil {
		waiting := h.takeUnservable()
		p.removeIfEmpty(h)
		p.mu.Unlock()
		p.wg.Done()
		p.count("leaf.connect.failed")
		failUnsent(waiting, err)
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, host: h, r: NewReader(raw, p.Memory), idleSince: p.Now()}
	h.all[c] = true
	p.mu.Unlock()
	go c.readLoop()
	return c, nil
}

// takeUnservable removes and returns the waiting calls if the host has no connection and none is being opened, so that
// no connection would be released to them. Otherwise it returns nil. The caller holds the pool's mu.
func (h *hostPool) takeUnservable() []*Flight {
	if len(h.all)+h.dialling > 0 {
		return nil
	}
	waiting := h.waiting
	h.waiting = nil
	return waiting
}

// withdrawWaiting ends the calls that wait for a connection to the host and may not be sent any more. They leave the
// queue with the next call that looks for a connection.
func (p *Pool) withdrawWaiting(now time.Time, h *hostPool) {
	p.mu.Lock()
	waiting := slices.Clone(h.waiting)
	p.mu.Unlock()
	for _, f := range waiting {
		f.withdrawUnlessAllowed(now)
	}
}

// failUnsent completes calls as not sent, with err.
func failUnsent(flights []*Flight, err error) {
	for _, f := range flights {
		f.complete(Result{Kind: KindNotSent, Err: err})
	}
}

// release starts the next waiting call on the connection, or marks the connection as idle if none waits. It closes the
// connection if the pool no longer keeps it, or if it has carried the requests of all waiting calls; they get a new one.
func (p *Pool) release(c *conn) {
	for {
		f, keep := p.nextOrIdle(c)
		if !keep {
			c.closeOnce()
			return
		}
		if f == nil || c.startCall(p.Now(), f) {
			return
		}
		// The call was abandoned while it waited, or the connection was closed in the meantime.
		p.startOrQueue(p.Now(), f)
	}
}

// nextOrIdle returns the next waiting call for a connection. If none waits, it marks the connection as idle and
// returns nil. If keep is false, the connection must be closed.
func (p *Pool) nextOrIdle(c *conn) (f *Flight, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !c.host.all[c] {
		return nil, false
	}
	h := c.host
	h.waiting = slices.DeleteFunc(h.waiting, (*Flight).completeAbandoned)
	for i, f := range h.waiting {
		if !c.carried.has(f.id) {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			return f, true
		}
	}
	if len(h.waiting) > 0 {
		p.count("leaf.closed.repeated")
		return nil, false
	}
	h.idle = append(h.idle, c)
	return nil, true
}

// remove removes a closed connection. If calls wait, it opens a connection for the first of them in the background.
// closeOnce calls it.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	delete(h.all, c)
	for i, other := range h.idle {
		if other == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			break
		}
	}
	if len(h.waiting) > 0 && !p.closed {
		f := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.dialling++
		p.wg.Add(1)
		go p.dialAndStart(f)
	}
	p.removeIfEmpty(h)
}

// hostPool returns the connections to an address, and creates an empty entry on first use. The caller holds mu.
func (p *Pool) hostPool(address unit.Address) *hostPool {
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{address: address, all: make(map[*conn]bool)}
		p.hosts[address] = h
	}
	return h
}

// removeIfEmpty removes the host from the pool if it has no connections and no waiting calls. The caller holds mu.
func (p *Pool) removeIfEmpty(h *hostPool) {
	if len(h.all)+h.dialling+len(h.waiting) == 0 && p.hosts[h.address] == h {
		delete(p.hosts, h.address)
	}
}

// count increments a counter if Count is set.
func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}

// IsLocalFailure reports whether a call was not sent for a reason on this VM's side rather than the endpoint's.
// Such a failure must not count against the endpoint.
func IsLocalFailure(err error) bool {
	return errors.IsAny(err, ErrFull, errAbandoned, errWithdrawn, errClosed)
}
