// Package peer implements JSON-RPC 2.0 over TCP between entry VMs. Other services register handlers for methods and
// call the methods of other VMs. docs/PROTOCOLS.md lists the methods.
//
// A call's context extends to the peer: callers send the remaining time with a call, which does not depend on either
// VM's clock, and a call that is cancelled is cancelled at the peer. The time that a call waited at the peer, because it
// was paused or busy, counts against the remaining time; QueueingDelay returns an estimate of it.
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
	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
)

const (
	// dialTimeout bounds connecting to a peer, including the response to methodHello.
	dialTimeout = time.Second
	// connectTimeout bounds opening the TCP connection, which is part of that. When the first packet is lost, for
	// example because the peer is starting, the kernel sends it again only after a second, so a new attempt is faster.
	connectTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write. The connection to a peer that reads nothing for that long is closed.
	writeTimeout = time.Second
	// redialDelay is the minimum time between a failed attempt to connect to a peer and the next attempt.
	redialDelay = 100 * time.Millisecond
	// maxYielding is how many incoming connections may be about to end for others when one is accepted.
	maxYielding = 16
	// acceptRetryDelay is the wait after a failed accept, such as one without a free file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
)

// The methods of the link itself.
const (
	// methodHello does nothing. Its response shows that the peer reads its connection.
	methodHello Method = "hello"
	// methodCancel cancels a call in flight. It is a notification and has no response.
	methodCancel Method = "cancel"
)

// ErrNotSent means that the peer has not run the call and never will: either no byte of the call can have reached the
// peer, or the peer has rejected it.
var ErrNotSent = errors.New("the call was not sent")

// codeClosing is the JSON-RPC error code of a call that was not run because the peer is closing or refused it.
const codeClosing = -32001

// Method is the name of a method that entry VMs call on each other.
type Method string

// handler handles the calls of one method.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Link holds the connections to and from the other entry VMs.
type Link struct {
	// Memory bounds what the messages take that are read or handled, and what waits to be written to those who have
	// connected; nil means no bound.
	Memory *memory.Account
	// MaxIncoming bounds the number of connections that peers have opened; 0 means no bound. If there are more, the one
	// whose last message is oldest is closed.
	MaxIncoming int

	listen     unit.Address
	clockStart time.Time
	lastCallID atomic.Uint64

	mu       sync.Mutex
	handlers map[Method]handler
	outgoing map[unit.Address]*peerConn
	incoming map[*session]bool
	// yielding is how many connections have been closed for others and have not ended, and yielded tells of those that have.
	yielding int
	yielded  sync.Cond
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	// closed is set when no further connection may be opened.
	closed bool
}

// peerConn is the outgoing connection to one peer.
type peerConn struct {
	mu       sync.Mutex
	conn     *jsonrpc2.Conn
	failedAt time.Time
	// dialling is closed when the current attempt to connect ends. It is nil while there is none.
	dialling chan struct{}
}

// New returns a link that will listen on the given address.
func New(listen unit.Address) *Link {
	l := &Link{
		listen:     listen,
		clockStart: time.Now(),
		handlers:   make(map[Method]handler),
		outgoing:   make(map[unit.Address]*peerConn),
		incoming:   make(map[*session]bool),
	}
	l.yielded.L = &l.mu
	Handle(l, methodHello, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
	return l
}

// Handle registers the handler of a method with typed parameters and a typed result. It must be called before the
// link starts.
func Handle[P, R any](l *Link, method Method, handle func(ctx context.Context, params P) (R, error)) {
	l.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handle(ctx, params)
	}
}

// Service returns the link as a service with the given name.
func (l *Link) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: l, Start: l.start, Close: l.close}
}

// Address returns the address that the link listens on. Before the start it is the configured address.
func (l *Link) Address() unit.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return l.listen
	}
	return unit.Address(l.listener.Addr().String())
}

// Call calls a method of the peer at the given address and waits for its result. An error that matches ErrNotSent
// means that the peer has not run the call. When ctx ends first, the call is cancelled at the peer, which may have
// run it.
func (l *Link) Call(ctx context.Context, to unit.Address, method Method, params, result any) error {
	conn, err := l.connect(ctx, to)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	if ctx.Err() != nil {
		return errors.Mark(errors.Wrapf(ctx.Err(), "send %s to peer %s", method, to), ErrNotSent)
	}
	id := jsonrpc2.ID{Num: l.lastCallID.Add(1)}
	// A failed write may have sent some bytes, so from here on only a rejection by the peer counts as ErrNotSent.
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

// isRefusal reports whether err is a response of the peer that says that it did not run the call.
func isRefusal(err error) bool {
	var e *jsonrpc2.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code == codeClosing || e.Code == jsonrpc2.CodeMethodNotFound || e.Code == jsonrpc2.CodeInvalidParams
}

// RefusalError returns an error with the text of err, which a handler returns if it has not run the call, for example
// because this VM is stopping. The error of Call at the calling VM then matches ErrNotSent.
func RefusalError(err error) error {
	return &jsonrpc2.Error{Code: codeClosing, Message: err.Error()}
}

// newStamp returns the stamp of a call that is sent now. It uses only this VM's monotonic clock, counted from the
// creation of the link.
func (l *Link) newStamp() wireStamp {
	return wireStamp{Sent: time.Since(l.clockStart).Microseconds()}
}

// start listens on the address and begins to accept connections.
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

// accept starts a session for each incoming connection until the listener is closed.
func (l *Link) accept(listener net.Listener) {
	defer l.wg.Done()
	for {
		l.awaitYielding()
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s := newSession(l)
		s.ctx, s.cancel = context.WithCancel(l.ctx)
		s.lastMessage.Store(int64(time.Since(l.clockStart)))
		l.mu.Lock()
		if l.MaxIncoming > 0 && len(l.incoming) >= l.MaxIncoming {
			l.closeOldest()
		}
		l.incoming[s] = true
		s.conn = l.startRPC(c, s, true)
		l.mu.Unlock()
		l.wg.Add(1)
		go l.awaitDisconnect(s)
	}
}

// closeOldest closes the incoming connection whose last message is oldest. The caller holds mu.
func (l *Link) closeOldest() {
	var oldest *session
	for s := range l.incoming {
		if oldest == nil || s.lastMessage.Load() < oldest.lastMessage.Load() {
			oldest = s
		}
	}
	delete(l.incoming, oldest)
	l.yielding++
	_ = oldest.conn.Close()
}

// awaitYielding waits until most connections that were closed for others have ended. A busy process accepts connections
// sooner than it ends others, so that they would be more than MaxIncoming.
func (l *Link) awaitYielding() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.yielding > maxYielding {
		l.yielded.Wait()
	}
}

// forget removes an incoming connection that has ended.
func (l *Link) forget(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incoming[s] {
		delete(l.incoming, s)
		return
	}
	l.yielding--
	l.yielded.Signal()
}

// awaitDisconnect waits until an incoming connection has ended, ends its calls, and then removes its session. The memory of
// a call is given back when it has ended, not with the connection.
func (l *Link) awaitDisconnect(s *session) {
	defer l.wg.Done()
	<-s.conn.DisconnectNotify()
	s.cancel()
	<-s.stream.ended
	l.forget(s)
	s.wg.Wait()
	s.stream.hold.Close()
}

// startRPC starts JSON-RPC on an incoming or outgoing connection. s handles the calls that the peer makes on it. What waits
// to be written is charged on incoming ones only: this VM's own calls are bounded by what it takes from its callers.
func (l *Link) startRPC(c net.Conn, s *session, incoming bool) *jsonrpc2.Conn {
	hold := l.Memory.NewHold()
	if incoming {
		s.stream = newBoundedStream(newBatchConn(c, hold), hold, maxKeptIncoming)
	} else {
		s.stream = newBoundedStream(newBatchConn(c, nil), hold, maxKeptOutgoing)
	}
	return jsonrpc2.NewConn(l.ctx, s.stream, s, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
}

// connect returns the open connection to a peer. If there is none, it waits for the current attempt to connect, which
// it starts if needed, or until ctx ends. The attempt itself does not end with ctx, since other callers may share it.
func (l *Link) connect(ctx context.Context, to unit.Address) (*jsonrpc2.Conn, error) {
	d := l.connTo(to)
	conn, dialling, err := l.currentConn(d, to)
	if dialling == nil {
		return conn, err
	}
	select {
	case <-dialling:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a connection to a peer")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil, errors.Newf("peer %s is unreachable", to)
	}
	return d.conn, nil
}

// connTo returns the state of the outgoing connection to an address. It creates the state on first use, without
// connecting, and the link keeps it from then on.
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

// currentConn returns the open connection, or otherwise the channel of the current attempt to connect, which it
// starts if there is none. dialling is nil unless the caller has to wait for an attempt. It returns an error when the
// last attempt failed less than redialDelay ago or the link is closed.
func (l *Link) currentConn(d *peerConn, to unit.Address) (conn *jsonrpc2.Conn, dialling chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.conn != nil && !isClosed(d.conn):
		return d.conn, nil, nil
	case d.dialling != nil:
		return nil, d.dialling, nil
	case time.Since(d.failedAt) < redialDelay:
		return nil, nil, errors.Newf("peer %s is unreachable; not connecting again yet", to)
	}
	d.conn = nil
	if !l.addGoroutine() {
		return nil, nil, errors.New("the link is closed")
	}
	d.dialling = make(chan struct{})
	go l.dialShared(d, to)
	return nil, d.dialling, nil
}

// addGoroutine registers a goroutine that close waits for. It returns false when the link is closed; the goroutine
// must not be started then. The goroutine must call wg.Done when it ends.
func (l *Link) addGoroutine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.wg.Add(1)
	return true
}

// dialShared connects to a peer on behalf of all callers that wait for d. It stores the connection in d, or nil and the
// time of the failure, and closes d.dialling. It runs in a goroutine of its own, which currentConn starts.
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

// dial opens a connection and waits for the peer's response to methodHello. A paused process accepts connections but
// reads them only after it resumes.
func (l *Link) dial(ctx context.Context, to unit.Address) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, errors.Wrap(err, "connect to a peer")
	}
	conn := l.startRPC(c, newSession(l), false)
	err = conn.Call(ctx, string(methodHello), struct{}{}, nil, jsonrpc2.Meta(l.newStamp()))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "wait for the handshake of a peer")
	}
	return conn, nil
}

// close stops listening, waits until the calls that peers have sent are answered, and closes all connections. This VM's
// own calls that are still in flight then fail.
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
	// Calls that have been received are answered before their connections close.
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

// isClosed reports whether a connection is closed.
func isClosed(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}
