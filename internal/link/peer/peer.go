// Package peer speaks JSON-RPC 2.0 over TCP between entry VMs. Other services add the methods that they answer and
// call those of other VMs; docs/PROTOCOLS.md lists them.
//
// A call's context reaches the peer: the time that is left goes with the call, without either VM's clock, and a
// cancelled call is cancelled there. The time that a call lay unread, because the peer was paused, counts against
// what is left; Delay gives it.
package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
)

const (
	// dialTimeout bounds the making of a connection to a peer, its first answer included.
	dialTimeout = time.Second
	// connectTimeout bounds its first part: when the opening packet is lost, as at a peer that is about to start, the kernel
	// sends it again only after a second, so another attempt is quicker.
	connectTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write; a peer that reads nothing for that long loses the connection.
	writeTimeout = time.Second
	// redialDelay is how long a peer that could not be reached is not dialled again.
	redialDelay = 100 * time.Millisecond
)

// The methods of the link itself.
const (
	methodHello  Method = "hello"
	methodCancel Method = "cancel"
)

// ErrNotSent means that the peer has not run the call and never will: no byte of it can have reached the peer, or the
// peer has refused it.
var ErrNotSent = errors.New("the call was not sent")

// codeClosing is the JSON-RPC error of a peer that is closing and has not run the call.
const codeClosing = -32001

// Method names a call between entry VMs.
type Method string

// handler answers one method.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Link holds the connections to and from the other entry VMs.
type Link struct {
	listen     unit.Address
	clockStart time.Time
	lastCallID atomic.Uint64

	mu       sync.Mutex
	handlers map[Method]handler
	outgoing map[unit.Address]*peerConn
	incoming map[*session]bool
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	// closed is set once no further connection is to be made.
	closed bool
}

// peerConn is the connection to one peer.
type peerConn struct {
	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	failedAt time.Time
	// dialling is closed at the end of the attempt under way; it is nil while there is none.
	dialling chan struct{}
}

// New makes a link that will listen at that address.
func New(listen unit.Address) *Link {
	l := &Link{
		listen:     listen,
		clockStart: time.Now(),
		handlers:   make(map[Method]handler),
		outgoing:   make(map[unit.Address]*peerConn),
		incoming:   make(map[*session]bool),
	}
	Handle(l, methodHello, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
	return l
}

// Handle adds a method with typed parameters and a typed result; it must be called before the link starts.
func Handle[P, R any](l *Link, method Method, handle func(ctx context.Context, params P) (R, error)) {
	l.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handle(ctx, params)
	}
}

// Service gives the link as a service with that name.
func (l *Link) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: l, Start: l.start, Close: l.close}
}

// Address gives the address that the link listens at.
func (l *Link) Address() unit.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return l.listen
	}
	return unit.Address(l.listener.Addr().String())
}

// Call calls a method of the peer at that address and waits for its result. An error that is ErrNotSent means that
// the peer has not seen the call. When ctx ends first, the call is cancelled at the peer, which may have run it.
func (l *Link) Call(ctx context.Context, to unit.Address, method Method, params, result any) error {
	conn, err := l.connect(ctx, to)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	id := jsonrpc2.ID{Num: l.lastCallID.Add(1)}
	// A write that fails may have let bytes out, so an error from here on is no ErrNotSent.
	waiter, err := conn.DispatchCall(ctx, string(method), params, jsonrpc2.PickID(id), jsonrpc2.Meta(l.newStamp()))
	if err != nil {
		return errors.Wrapf(err, "send %s to peer %s", method, to)
	}
	err = waiter.Wait(ctx, result)
	if isRefusal(err) {
		return errors.Mark(errors.Wrapf(err, "call %s of peer %s", method, to), ErrNotSent)
	}
	if err != nil && ctx.Err() != nil {
		_ = conn.Notify(context.WithoutCancel(ctx), string(methodCancel), wireCancel{ID: id.Num})
	}
	return errors.Wrapf(err, "call %s of peer %s", method, to)
}

// isRefusal says whether the peer has answered that it did not run the call.
func isRefusal(err error) bool {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == codeClosing || e.Code == jsonrpc2.CodeMethodNotFound || e.Code == jsonrpc2.CodeInvalidParams
}

// RefusalError marks err as the answer of a VM that has not run the call, which ErrNotSent is then at the caller.
func RefusalError(err error) error {
	return &jsonrpc2.Error{Code: codeClosing, Message: err.Error()}
}

// newStamp gives the time of sending, on this VM's clock alone.
func (l *Link) newStamp() wireStamp {
	return wireStamp{Sent: time.Since(l.clockStart).Microseconds()}
}

func (l *Link) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(l.listen))
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	l.mu.Lock()
	l.listener = listener
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.mu.Unlock()
	l.wg.Add(1)
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	defer l.wg.Done()
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s := newSession(l)
		l.mu.Lock()
		l.incoming[s] = true
		s.conn = l.startRPC(c, s)
		l.mu.Unlock()
		l.wg.Add(1)
		go l.awaitDisconnect(s)
	}
}

// awaitDisconnect waits for the end of an incoming connection and of the calls that came by it.
func (l *Link) awaitDisconnect(s *session) {
	defer l.wg.Done()
	<-s.conn.DisconnectNotify()
	s.wg.Wait()
	l.mu.Lock()
	delete(l.incoming, s)
	l.mu.Unlock()
}

// startRPC starts JSON-RPC on a connection.
func (l *Link) startRPC(c net.Conn, h jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(newBatchConn(c), jsonrpc2.PlainObjectCodec{})
	return jsonrpc2.NewConn(l.ctx, stream, h, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// connect gives the open connection to a peer, or waits for one to be made.
func (l *Link) connect(ctx context.Context, to unit.Address) (*jsonrpc2.Conn, error) {
	d := l.connTo(to)
	conn, dialling, err := l.currentConn(d, to)
	if dialling == nil {
		return conn, err
	}
	select {
	case <-dialling:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect to a peer")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil, errors.Newf("peer %s could not be reached", to)
	}
	return d.conn, nil
}

func (l *Link) connTo(address unit.Address) *peerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.outgoing[address]
	if d == nil {
		d = &peerConn{}
		l.outgoing[address] = d
	}
	return d
}

// currentConn gives the open connection, or the attempt to make one that is under way, or why none is made now.
func (l *Link) currentConn(d *peerConn, to unit.Address) (conn *jsonrpc2.Conn, dialling chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.conn != nil && !isClosed(d.conn):
		return d.conn, nil, nil
	case d.dialling != nil:
		return nil, d.dialling, nil
	case time.Since(d.failedAt) < redialDelay:
		return nil, nil, errors.Newf("peer %s could not be reached just now", to)
	}
	d.conn = nil
	if !l.addGoroutine() {
		return nil, nil, errors.New("the link is closed")
	}
	d.dialling = make(chan struct{})
	go l.dialShared(d, to)
	return nil, d.dialling, nil
}

// addGoroutine counts a goroutine that close waits for; it says false once the link is closed.
func (l *Link) addGoroutine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.wg.Add(1)
	return true
}

// dialShared makes the connection that d's callers wait for.
func (l *Link) dialShared(d *peerConn, to unit.Address) {
	defer l.wg.Done()
	conn, err := l.dial(l.ctx, to)
	if err == nil && l.ctx.Err() != nil {
		err = conn.Close()
		conn = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	if err != nil {
		d.failedAt = time.Now()
	}
	close(d.dialling)
	d.dialling = nil
}

// dial makes a connection and waits for the peer's first answer: a paused process takes connections that it will
// only read once it goes on.
func (l *Link) dial(ctx context.Context, to unit.Address) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, errors.Wrap(err, "connect to a peer")
	}
	conn := l.startRPC(c, newSession(l))
	err = conn.Call(ctx, string(methodHello), struct{}{}, nil, jsonrpc2.Meta(l.newStamp()))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "greet a peer")
	}
	return conn, nil
}

func (l *Link) close() error {
	err := l.listener.Close()
	l.mu.Lock()
	l.closed = true
	sessions := make([]*session, 0, len(l.incoming))
	for s := range l.incoming {
		sessions = append(sessions, s)
	}
	out := make([]*peerConn, 0, len(l.outgoing))
	for _, d := range l.outgoing {
		out = append(out, d)
	}
	l.mu.Unlock()
	// The calls that have come are answered before their connections close.
	for _, s := range sessions {
		s.close()
	}
	l.cancel()
	for _, d := range out {
		d.mu.Lock()
		if d.conn != nil {
			_ = d.conn.Close()
		}
		d.mu.Unlock()
	}
	l.wg.Wait()
	return errors.Wrap(err, "close the link to the peers")
}

// isClosed says whether a connection is closed.
func isClosed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}
