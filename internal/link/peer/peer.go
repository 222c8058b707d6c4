// Package peer speaks JSON-RPC 2.0 over TCP between entry VMs. Other services add the methods that they answer and
// call those of other VMs; docs/PROTOCOLS.md lists them.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
)

// dialTime bounds the making of a connection to a peer.
const dialTime = time.Second

// ErrNotSent means that no byte of a call can have reached the peer.
var ErrNotSent = errors.New("the call was not sent")

// Method names a call between entry VMs.
type Method string

// handler answers one method.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Link holds the connections to and from the other entry VMs.
type Link struct {
	listen unit.Address

	mu       sync.Mutex
	handlers map[Method]handler
	out      map[unit.Address]*jsonrpc2.Conn
	in       map[*jsonrpc2.Conn]bool
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
}

// New makes a link that will listen at that address.
func New(listen unit.Address) *Link {
	return &Link{
		listen:   listen,
		handlers: make(map[Method]handler),
		out:      make(map[unit.Address]*jsonrpc2.Conn),
		in:       make(map[*jsonrpc2.Conn]bool),
	}
}

// Handle adds a method with typed parameters and a typed result; it must be called before the link starts.
func Handle[P, R any](l *Link, method Method, answer func(ctx context.Context, params P) (R, error)) {
	l.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return answer(ctx, params)
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
// the peer has not seen the call.
func (l *Link) Call(ctx context.Context, to unit.Address, method Method, params, result any) error {
	conn, err := l.connect(ctx, to)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Wrapf(conn.Call(ctx, string(method), params, result), "call %s of peer %s", method, to)
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
		conn := l.open(c)
		l.mu.Lock()
		l.in[conn] = true
		l.mu.Unlock()
		l.wg.Add(1)
		go l.forget(conn)
	}
}

// forget waits for the end of an incoming connection.
func (l *Link) forget(conn *jsonrpc2.Conn) {
	defer l.wg.Done()
	<-conn.DisconnectNotify()
	l.mu.Lock()
	delete(l.in, conn)
	l.mu.Unlock()
}

// open starts JSON-RPC on a connection.
func (l *Link) open(c net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.PlainObjectCodec{})
	return jsonrpc2.NewConn(l.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.answer)))
}

func (l *Link) answer(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	answer, ok := l.handlers[Method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	return answer(ctx, *req.Params)
}

// connect gives the open connection to a peer, or makes one.
func (l *Link) connect(ctx context.Context, to unit.Address) (*jsonrpc2.Conn, error) {
	if conn := l.known(to); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTime}
	c, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, errors.Wrap(err, "connect to a peer")
	}
	conn := l.open(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.out[to]; other != nil && !ended(other) {
		_ = conn.Close()
		return other, nil
	}
	l.out[to] = conn
	return conn, nil
}

func (l *Link) known(to unit.Address) *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.out[to]
	if conn == nil || ended(conn) {
		return nil
	}
	return conn
}

func (l *Link) close() error {
	err := l.listener.Close()
	l.cancel()
	l.mu.Lock()
	var conns []*jsonrpc2.Conn
	for conn := range l.in {
		conns = append(conns, conn)
	}
	for _, conn := range l.out {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	l.wg.Wait()
	return errors.Wrap(err, "close the link to the peers")
}

// ended says whether a connection is closed.
func ended(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}
