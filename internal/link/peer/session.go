package peer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// The wire types of the link itself.
type (
	// wireStamp is sent as the "meta" of each call.
	wireStamp struct {
		// Sent is when the call was sent, in microseconds on the sender's own clock.
		Sent int64 `json:"sent"`
	}

	// wireCancel is the parameter of methodCancel. ID is the JSON-RPC id of the call.
	wireCancel struct {
		ID uint64 `json:"id"`
	}
)

// arrivalKey is the context key of a call's arrival.
type arrivalKey struct{}

// arrival is when a call was read, and how long it had waited to be read.
type arrival struct {
	read  time.Time
	delay time.Duration
}

// QueueingDelay returns an estimate of how long the call that ctx belongs to has waited, until now: to be read, and since
// then for its goroutine to run. The former is measured relative to the fastest call so far on the same connection. It
// is 0 outside a call. Handlers subtract it from the remaining time that was sent with the call.
func QueueingDelay(ctx context.Context) time.Duration {
	a, ok := ctx.Value(arrivalKey{}).(arrival)
	if !ok {
		return 0
	}
	return a.delay + time.Since(a.read)
}

// session handles the calls that arrive on one connection.
type session struct {
	link   *Link
	conn   *jsonrpc2.Conn
	stream *boundedStream
	// ctx is the context of all calls. cancel ends them when an incoming connection has ended.
	ctx    context.Context
	cancel context.CancelFunc
	// lastMessage is when the last message of an incoming connection was read, or else when it was accepted, since the
	// creation of the link.
	lastMessage atomic.Int64

	mu sync.Mutex
	// cancels holds the cancel function of each call in flight, by JSON-RPC id.
	cancels map[uint64]context.CancelFunc
	// closed is set when no further call is accepted.
	closed bool
	// minOffset is the smallest difference seen between the peer's clock at sending and this VM's clock at reading. It
	// includes the unknown offset between the two clocks.
	minOffset time.Duration
	hasOffset bool
	wg        sync.WaitGroup
}

// newSession returns a session of the link. The caller sets conn for incoming connections, and ctx and cancel. For outgoing
// connections conn and cancel stay nil, since peers make their calls on connections of their own and close is not called.
func newSession(l *Link) *session {
	return &session{link: l, ctx: l.ctx, cancels: make(map[uint64]context.CancelFunc)}
}

// Handle handles one message; jsonrpc2 calls it for each message that it reads. Messages are handled in the order of
// arrival, and each call runs in its own goroutine.
//
// A call ends with its connection: nobody gets its result, and the peer may make it again elsewhere.
func (s *session) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s.lastMessage.Store(int64(time.Since(s.link.clockStart)))
	if req.Notif {
		s.handleCancel(req)
		return
	}
	a := arrival{read: time.Now(), delay: s.queueingDelay(req)}
	charge, ok := s.stream.claim()
	if !ok {
		// The refusal takes less.
		s.stream.dropMessage()
		s.refuse(conn, req, errNoMemory.Error())
		return
	}
	ctx, cancel := context.WithCancel(context.WithValue(s.ctx, arrivalKey{}, a))
	if !s.register(req.ID.Num, cancel) {
		cancel()
		s.stream.hold.Return(charge)
		s.refuse(conn, req, "this entry VM is stopping")
		return
	}
	go func() {
		defer s.wg.Done()
		defer s.stream.hold.Return(charge)
		defer s.unregister(req.ID.Num, cancel)
		jsonrpc2.HandlerWithError(s.runHandler).Handle(ctx, conn, req)
	}()
}

// refuse replies that a call has not been run. Its connection is closed if that can't be written.
func (s *session) refuse(conn *jsonrpc2.Conn, req *jsonrpc2.Request, message string) {
	refusal := &jsonrpc2.Error{Code: codeClosing, Message: message}
	if conn.ReplyWithError(s.ctx, req.ID, refusal) != nil {
		_ = conn.Close()
	}
}

// register adds a call and its cancel function. It returns false when the session is closed. Each registered call
// must be followed by unregister and by a call of wg.Done.
func (s *session) register(id uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.cancels[id] = cancel
	s.wg.Add(1)
	return true
}

// runHandler calls the handler of the request's method and returns its result.
func (s *session) runHandler(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handle, ok := s.link.handlers[Method(req.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	return handle(ctx, *req.Params)
}

// handleCancel cancels the context of a call that its caller has cancelled. It ignores all other notifications.
func (s *session) handleCancel(req *jsonrpc2.Request) {
	var w wireCancel
	if Method(req.Method) != methodCancel || req.Params == nil || json.Unmarshal(*req.Params, &w) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[w.ID]; cancel != nil {
		cancel()
	}
}

// unregister removes a registered call that has ended and cancels its context, to release it. A faulty peer may have
// used the ID for several calls, of which only the last can be cancelled by the peer.
func (s *session) unregister(id uint64, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel()
	delete(s.cancels, id)
}

// queueingDelay estimates how long a call waited to be read. The clocks of the two VMs are not synchronised, so it
// compares the difference between this VM's clock at reading and the call's stamp with minOffset, the smallest
// difference so far on this connection, which it also updates. It returns 0 for the first stamped call, for each call
// that sets a new minimum, and for a call without a valid stamp.
func (s *session) queueingDelay(req *jsonrpc2.Request) time.Duration {
	var stamp wireStamp
	if req.Meta == nil || json.Unmarshal(*req.Meta, &stamp) != nil {
		return 0
	}
	offset := time.Since(s.link.clockStart) - time.Duration(stamp.Sent)*time.Microsecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOffset || offset < s.minOffset {
		s.minOffset, s.hasOffset = offset, true
	}
	return offset - s.minOffset
}

// close waits for the calls in flight to be answered and closes the connection. Calls that arrive in the meantime are
// rejected. It may be called only for incoming connections.
func (s *session) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
	_ = s.conn.Close()
}
