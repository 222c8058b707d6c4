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
	// wireStamp goes with each call as its "meta".
	wireStamp struct {
		// Sent is when the call was sent, in microseconds on the sender's own clock.
		Sent int64 `json:"sent"`
	}

	wireCancel struct {
		ID uint64 `json:"id"`
	}
)

// queueingDelayKey is the key of a call's delay in its context.
type queueingDelayKey struct{}

// QueueingDelay gives how long the call that ctx belongs to lay unread, beyond the shortest time that a call of the same
// connection took.
func QueueingDelay(ctx context.Context) time.Duration {
	delay, _ := ctx.Value(queueingDelayKey{}).(time.Duration)
	return delay
}

// session answers the calls that come by one connection.
type session struct {
	link *Link
	conn *jsonrpc2.Conn

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	// closed is set once no further call is answered.
	closed bool
	// minOffset is the least difference seen between the peer's clock at sending and this VM's at reading; it holds
	// the unknown offset of the two clocks.
	minOffset time.Duration
	hasOffset bool
	wg        sync.WaitGroup
}

func newSession(l *Link) *session {
	return &session{link: l, cancels: make(map[uint64]context.CancelFunc)}
}

// Handle takes one message in the order of arrival, and answers a call on a goroutine of its own.
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

// register notes a call that is to be answered; it says false once the session closes.
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

// handleCancel ends the context of a call that its caller has given up.
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

func (s *session) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[id]()
	delete(s.cancels, id)
}

// queueingDelay gives how long a call lay unread; a call without a stamp has none.
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

// close waits for the calls under way to be answered and closes the connection; calls that come meanwhile are
// refused.
func (s *session) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
	_ = s.conn.Close()
}
