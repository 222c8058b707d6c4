package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// The wire types of the link itself.
type (
	// wireStamp is sent as the "meta" of each call.
	wireStamp struct {
		// Sent is the time of sending, in microseconds on the sender's own clock.
		Sent int64 `json:"sent"`
	}

	// wireCancel is the parameter of methodCancel. ID is the JSON-RPC id of the call.
	wireCancel struct {
		ID uint64 `json:"id"`
	}
)

// queueingDelayKey is the context key of a call's queueing delay.
type queueingDelayKey struct{}

// QueueingDelay returns how long the call that ctx belongs to waited to be read. It is measured relative to the
// fastest call on the same connection, and is 0 outside a call.
func QueueingDelay(ctx context.Context) time.Duration {
	delay, _ := ctx.Value(queueingDelayKey{}).(time.Duration)
	return delay
}

// session handles the calls that arrive on one connection.
type session struct {
	link *Link
	conn *jsonrpc2.Conn

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

// newSession returns a session of the link. The caller sets conn for incoming connections.
func newSession(l *Link) *session {
	return &session{link: l, cancels: make(map[uint64]context.CancelFunc)}
}

// Handle handles one message. Messages are handled in the order of arrival, and each call runs in its own goroutine.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		s.handleCancel(req)
		return
	}
	delay := s.queueingDelay(req)
	ctx, cancel := context.WithCancel(context.WithValue(ctx, queueingDelayKey{}, delay))
	if !s.register(req.ID.Num, cancel) {
		cancel()
		refusal := &jsonrpc2.Error{Code: codeClosing, Message: "this entry VM is stopping"}
		_ = conn.ReplyWithError(ctx, req.ID, refusal)
		return
	}
	go func() {
		defer s.wg.Done()
		defer s.unregister(req.ID.Num)
		jsonrpc2.HandlerWithError(s.runHandler).Handle(ctx, conn, req)
	}()
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

// unregister removes a call that has ended and releases its context.
func (s *session) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id]()
	delete(s.cancels, id)
}

// queueingDelay returns how long a call waited to be read, or 0 for a call without a time of sending.
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
// rejected.
func (s *session) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
	_ = s.conn.Close()
}
