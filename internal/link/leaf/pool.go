package leaf

import (
	"bufio"
	"context"
	"net"
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
	for {
		c, dial := p.take(now, call)
		if c == nil && !dial {
			f.end(End{Kind: KindNotSent, Err: ErrFull})
			return f
		}
		if dial {
			go p.dialFor(f)
			return f
		}
		if c.begin(now, f) {
			return f
		}
	}
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
	for _, h := range p.hosts {
		for c := range h.all {
			all = append(all, c)
		}
	}
	p.mu.Unlock()
	p.cancel()
	for _, c := range all {
		c.fail(errClosed)
	}
	p.wg.Wait()
	return nil
}

// take gives a free connection, or says that one is to be dialled, for which it has counted a place.
func (p *Pool) take(now time.Time, call Call) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(call.Address)
	for len(h.free) > 0 {
		c = h.free[len(h.free)-1]
		h.free = h.free[:len(h.free)-1]
		if !c.stale(now) {
			return c, false
		}
		go c.shut()
	}
	if p.closed || len(h.all)+h.dialling >= call.Connections {
		return nil, false
	}
	h.dialling++
	p.wg.Add(1)
	return nil, true
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
		p.prune(h)
		p.mu.Unlock()
		p.wg.Done()
		p.count("leaf.connect.failed")
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, host: h, r: bufio.NewReaderSize(raw, readBuffer), idleSince: p.Now()}
	h.all[c] = true
	p.mu.Unlock()
	go c.run()
	return c, nil
}

// release makes a connection free for the next call.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	keep := !p.closed && c.host.all[c]
	if keep {
		c.host.free = append(c.host.free, c)
	}
	p.mu.Unlock()
	if !keep {
		c.shut()
	}
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
	if len(h.all)+h.dialling == 0 && p.hosts[h.address] == h {
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
