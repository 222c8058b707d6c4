package leaf

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
)

const (
	// dialTimeout bounds the making of a connection; a paused endpoint accepts within it.
	dialTimeout = 400 * time.Millisecond
	// abandonedReplyTimeout is how long the reply of an abandoned call is waited for, so that the connection can be kept. It
	// stays below the half second after which an endpoint must not work for a caller that has left.
	abandonedReplyTimeout = 300 * time.Millisecond
	// idleMargin is how long before the endpoint's own idle timeout a free connection is given up, at most a quarter of
	// that timeout.
	idleMargin = time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the connection counts as broken.
	tcpUserTimeout = 2 * time.Second
	// readBufferSize is the size of a connection's read buffer in bytes; it holds a usual reply.
	readBufferSize = 4096
	// maxWaiting is how many calls may wait for a connection to one endpoint; with more of them the endpoint is slow,
	// and the call had better go to another one.
	maxWaiting = 4
	// smallWriteSize is the size in bytes up to which a call fits into the socket's buffer, so that its write cannot block.
	smallWriteSize = 8192
)

// ErrFull means that this VM holds all the connections to the endpoint that it may, and all are in use.
var ErrFull = errors.New("all connections to the endpoint are in use")

// errAbandoned means that a call was given up before it left.
var errAbandoned = errors.New("the call was abandoned before it was sent")

// Pool holds the connections to all endpoints. The function fields are its seams.
type Pool struct {
	// Now gives the present time.
	Now func() time.Time
	// Dial makes a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Encode gives the bytes of a call.
	Encode func(c Call, now time.Time) []byte
	// Decode reads one whole reply to a request of that method.
	Decode func(r *bufio.Reader, method string) (Reply, error)
	// Count adds one to the counter with that name.
	Count func(name string)

	mu     sync.Mutex
	hosts  map[unit.Address]*hostPool
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// hostPool is the connections to one address.
type hostPool struct {
	address unit.Address
	// idle are the connections without a call, the one used last at the end.
	idle []*conn
	all  map[*conn]bool
	// dialling counts the connections that are being made.
	dialling int
	// waiting are the calls that wait for a connection to become free, the first at the front.
	waiting []*Flight
}

// New makes a pool that dials over TCP.
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

// Service gives the pool as a service with that name.
func (p *Pool) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: p, Close: p.Close}
}

// setUserTimeout bounds how long a cut connection goes unnoticed while bytes are under way.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// Send starts a call and does not wait for its end; done is called with that once, possibly before Send returns.
func (p *Pool) Send(now time.Time, call Call, done func(Result)) *Flight {
	f := &Flight{call: call, done: done}
	p.startOrQueue(now, f)
	return f
}

// startOrQueue has a call begin on a free connection, or has it wait for one.
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
		}
		if c.startCall(now, f) {
			return
		}
	}
	f.complete(Result{Kind: KindNotSent, Err: errAbandoned})
}

// Warm makes a connection to the endpoint when there is none.
func (p *Pool) Warm(address unit.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostPool(address)
	if p.closed || len(h.all)+h.dialling > 0 {
		return
	}
	h.dialling++
	p.wg.Add(1)
	go func() {
		if c, err := p.dial(address); err == nil {
			p.release(c)
		}
	}()
}

// Retain closes the free connections to other addresses than those in keep.
func (p *Pool) Retain(keep map[unit.Address]bool) {
	var gone []*conn
	p.mu.Lock()
	for address, h := range p.hosts {
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
}

// Close closes all connections and waits for their goroutines.
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
		c.fail(errClosed)
	}
	p.wg.Wait()
	return nil
}

// nextStep says what becomes of a call that asks for a connection.
type nextStep int

const (
	stepStart nextStep = iota
	stepDial
	stepWait
	stepReject
)

// acquire gives a free connection, or says what the call has to do instead; a connection that is to be made has its place
// counted already.
func (p *Pool) acquire(now time.Time, f *Flight) (*conn, nextStep) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostPool(f.call.Address)
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if !c.isStale(now) {
			return c, stepStart
		}
		go c.closeOnce()
	}
	h.waiting = slices.DeleteFunc(h.waiting, (*Flight).completeAbandoned)
	switch {
	case p.closed:
		return nil, stepReject
	case len(h.all)+h.dialling < f.call.MaxConnections:
		h.dialling++
		p.wg.Add(1)
		return nil, stepDial
	case len(h.waiting) < maxWaiting:
		h.waiting = append(h.waiting, f)
		f.startWaitTimer()
		return nil, stepWait
	default:
		return nil, stepReject
	}
}

// dialAndStart makes a connection for a flight and begins it there.
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

// dial makes a connection whose place is counted and starts its reader.
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
	c := &conn{Conn: raw, pool: p, host: h, r: bufio.NewReaderSize(raw, readBufferSize), idleSince: p.Now()}
	h.all[c] = true
	p.mu.Unlock()
	go c.readLoop()
	return c, nil
}

// takeUnservable takes the waiting calls of a host that has no connection left and none in the making.
func (h *hostPool) takeUnservable() []*Flight {
	if len(h.all)+h.dialling > 0 {
		return nil
	}
	waiting := h.waiting
	h.waiting = nil
	return waiting
}

// failUnsent ends calls that could not be sent.
func failUnsent(flights []*Flight, err error) {
	for _, f := range flights {
		f.complete(Result{Kind: KindNotSent, Err: err})
	}
}

// release hands a connection to the next call that waits for one, or makes it free.
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
		// The call was abandoned while it waited, or the connection has been closed meanwhile.
		p.startOrQueue(p.Now(), f)
	}
}

// nextOrIdle gives the next call for a connection, or nil once the connection is free. keep is false when the connection
// is to be closed.
func (p *Pool) nextOrIdle(c *conn) (f *Flight, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !c.host.all[c] {
		return nil, false
	}
	if h := c.host; len(h.waiting) > 0 {
		f = h.waiting[0]
		h.waiting = h.waiting[1:]
		return f, true
	}
	c.host.idle = append(c.host.idle, c)
	return nil, true
}

// remove drops a closed connection.
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

func (p *Pool) hostPool(address unit.Address) *hostPool {
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{address: address, all: make(map[*conn]bool)}
		p.hosts[address] = h
	}
	return h
}

// removeIfEmpty drops a host without connections.
func (p *Pool) removeIfEmpty(h *hostPool) {
	if len(h.all)+h.dialling+len(h.waiting) == 0 && p.hosts[h.address] == h {
		delete(p.hosts, h.address)
	}
}

func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}

// IsLocalFailure says whether a call was not sent for a reason that lies with this VM and not with the endpoint.
func IsLocalFailure(err error) bool {
	return errors.IsAny(err, ErrFull, errAbandoned, errClosed)
}
