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
	// dialTime bounds the making of a connection; a paused endpoint accepts within it.
	dialTime = 400 * time.Millisecond
	// abandonedTime is how long the reply of an abandoned call is waited for, so that the connection can be kept. It
	// stays below the half second after which an endpoint must not work for a caller that has left.
	abandonedTime = 300 * time.Millisecond
	// idleSlack is how long before the endpoint's own idle timeout a free connection is given up, at most a quarter of
	// that timeout.
	idleSlack = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts as broken.
	userTimeout = 2 * time.Second
	// readBuffer is the size of a connection's read buffer in bytes; it holds a usual reply.
	readBuffer = 4096
	// maxWaiting is how many calls may wait for a connection to one endpoint; with more of them the endpoint is slow,
	// and the call had better go to another one.
	maxWaiting = 4
	// smallWrite is the size in bytes up to which a call fits into the socket's buffer, so that its write cannot block.
	smallWrite = 8192
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
	hosts  map[unit.Address]*host
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// host is the connections to one address.
type host struct {
	address unit.Address
	// free are the connections without a call, the one used last at the end.
	free []*conn
	all  map[*conn]bool
	// dialling counts the connections that are being made.
	dialling int
	// waiting are the calls that wait for a connection to become free, the first at the front.
	waiting []*Flight
}

// New makes a pool that dials over TCP.
func New(now func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: dialTime, Control: control}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		Now:    now,
		Dial:   dialer.DialContext,
		hosts:  make(map[unit.Address]*host),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Service gives the pool as a service with that name.
func (p *Pool) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: p, Close: p.Close}
}

// control bounds how long a cut connection goes unnoticed while bytes are under way.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Send starts a call and does not wait for its end; done is called with that once, possibly before Send returns.
func (p *Pool) Send(now time.Time, call Call, done func(End)) *Flight {
	f := &Flight{call: call, done: done}
	p.start(now, f)
	return f
}

// start has a call begin on a free connection, or has it wait for one.
func (p *Pool) start(now time.Time, f *Flight) {
	for !f.isAbandoned() {
		c, next := p.take(now, f)
		switch next {
		case nextDial:
			go p.dialFor(f)
			return
		case nextWait:
			return
		case nextRefuse:
			f.end(End{Kind: KindNotSent, Err: ErrFull})
			return
		}
		if c.begin(now, f) {
			return
		}
	}
	f.end(End{Kind: KindNotSent, Err: errAbandoned})
}

// Warm makes a connection to the endpoint when there is none.
func (p *Pool) Warm(address unit.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
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
			gone = append(gone, h.free...)
			h.free = nil
			p.prune(h)
		}
	}
	p.mu.Unlock()
	for _, c := range gone {
		c.shut()
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
	endAll(waiting, errClosed)
	for _, c := range all {
		c.fail(errClosed)
	}
	p.wg.Wait()
	return nil
}

// next says what becomes of a call that asks for a connection.
type next int

const (
	nextBegin next = iota
	nextDial
	nextWait
	nextRefuse
)

// take gives a free connection, or says what the call has to do instead; a connection that is to be made has its place
// counted already.
func (p *Pool) take(now time.Time, f *Flight) (*conn, next) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(f.call.Address)
	for len(h.free) > 0 {
		c := h.free[len(h.free)-1]
		h.free = h.free[:len(h.free)-1]
		if !c.stale(now) {
			return c, nextBegin
		}
		go c.shut()
	}
	h.waiting = slices.DeleteFunc(h.waiting, (*Flight).endAbandoned)
	switch {
	case p.closed:
		return nil, nextRefuse
	case len(h.all)+h.dialling < f.call.Connections:
		h.dialling++
		p.wg.Add(1)
		return nil, nextDial
	case len(h.waiting) < maxWaiting:
		h.waiting = append(h.waiting, f)
		f.await()
		return nil, nextWait
	default:
		return nil, nextRefuse
	}
}

// dialFor makes a connection for a flight and begins it there.
func (p *Pool) dialFor(f *Flight) {
	c, err := p.dial(f.call.Address)
	if err != nil {
		f.end(End{Kind: KindNotSent, Err: errors.Wrap(err, "connect to the endpoint")})
		return
	}
	if !c.begin(p.Now(), f) {
		p.release(c)
		f.end(End{Kind: KindNotSent, Err: errAbandoned})
	}
}

// dial makes a connection whose place is counted and starts its reader.
func (p *Pool) dial(address unit.Address) (*conn, error) {
	p.count("leaf.connect")
	raw, err := p.Dial(p.ctx, "tcp", string(address))
	p.mu.Lock()
	h := p.host(address)
	h.dialling--
	if err == nil && p.closed {
		_ = raw.Close()
		err = errClosed
	}
	if err != nil {
		waiting := h.strand()
		p.prune(h)
		p.mu.Unlock()
		p.wg.Done()
		p.count("leaf.connect.failed")
		endAll(waiting, err)
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, host: h, r: bufio.NewReaderSize(raw, readBuffer), idleSince: p.Now()}
	h.all[c] = true
	p.mu.Unlock()
	go c.run()
	return c, nil
}

// strand takes the waiting calls of a host that has no connection left and none in the making.
func (h *host) strand() []*Flight {
	if len(h.all)+h.dialling > 0 {
		return nil
	}
	waiting := h.waiting
	h.waiting = nil
	return waiting
}

// endAll ends calls that could not be sent.
func endAll(flights []*Flight, err error) {
	for _, f := range flights {
		f.end(End{Kind: KindNotSent, Err: err})
	}
}

// release hands a connection to the next call that waits for one, or makes it free.
func (p *Pool) release(c *conn) {
	for {
		f, keep := p.nextFor(c)
		if !keep {
			c.shut()
			return
		}
		if f == nil || c.begin(p.Now(), f) {
			return
		}
		// The call was abandoned while it waited, or the connection has been closed meanwhile.
		p.start(p.Now(), f)
	}
}

// nextFor gives the next call for a connection, or nil once the connection is free. keep is false when the connection
// is to be closed.
func (p *Pool) nextFor(c *conn) (f *Flight, keep bool) {
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
	c.host.free = append(c.host.free, c)
	return nil, true
}

// forget drops a closed connection.
func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	delete(h.all, c)
	for i, other := range h.free {
		if other == c {
			h.free = append(h.free[:i], h.free[i+1:]...)
			break
		}
	}
	if len(h.waiting) > 0 && !p.closed {
		f := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.dialling++
		p.wg.Add(1)
		go p.dialFor(f)
	}
	p.prune(h)
}

func (p *Pool) host(address unit.Address) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{address: address, all: make(map[*conn]bool)}
		p.hosts[address] = h
	}
	return h
}

// prune drops a host without connections.
func (p *Pool) prune(h *host) {
	if len(h.all)+h.dialling+len(h.waiting) == 0 && p.hosts[h.address] == h {
		delete(p.hosts, h.address)
	}
}

func (p *Pool) count(name string) {
	if p.Count != nil {
		p.Count(name)
	}
}

// IsBusy says whether a call was not sent for a reason that lies with this VM and not with the endpoint.
func IsBusy(err error) bool {
	return errors.IsAny(err, ErrFull, errAbandoned, errClosed)
}
