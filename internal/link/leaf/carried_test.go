package leaf_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// copyServer replies to its n-th request with the body "n". Before each reply it sends a second copy of the last reply on
// the connection, late.
type copyServer struct {
	scriptedServer
	// seen is closed when the first request has arrived, whose reply is sent once hold is closed.
	seen chan struct{}
}

func startCopying(t *testing.T) *copyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &copyServer{seen: make(chan struct{})}
	s.listener, s.hold = listener, make(chan struct{})
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.wg.Add(1)
			go s.copyReplies(c)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		s.wg.Wait()
	})
	return s
}

func (s *copyServer) copyReplies(c net.Conn) {
	defer s.wg.Done()
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	last := ""
	for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
		n := s.requests.Add(1)
		if n == 1 {
			close(s.seen)
			<-s.hold
		}
		_, _ = io.WriteString(c, last)
		last = wholeReply(id, fmt.Sprint(n))
		_, _ = io.WriteString(c, last)
	}
}

// TestLateCopyOfEarlierAttempt guards against taking a late copy of the reply to an earlier attempt of a request for the
// reply to its retry, so that a request was answered as rejected although its retry ran.
func TestLateCopyOfEarlierAttempt(t *testing.T) {
	tests := []struct {
		name  string
		calls []unit.RequestID
		// limit is the number of connections that may be open.
		limit int
		// queued sends all calls before the first reply comes.
		queued bool
		// abandon abandons the first call.
		abandon bool
		// connections is the number of connections that are opened.
		connections int64
	}{
		{name: "a retry", calls: []unit.RequestID{"r", "r"}, limit: 2, connections: 2},
		{name: "a retry at the limit", calls: []unit.RequestID{"r", "r"}, limit: 1, connections: 2},
		{name: "two retries at the limit", calls: []unit.RequestID{"r", "r", "r"}, limit: 1, connections: 3},
		{name: "a retry that waits for the connection", calls: []unit.RequestID{"r", "r"}, limit: 1, queued: true, connections: 2},
		{name: "a retry after another request", calls: []unit.RequestID{"r", "q", "r"}, limit: 1, connections: 2},
		{name: "a retry that waits before another request", calls: []unit.RequestID{"r", "r", "q"}, limit: 1, queued: true, connections: 2},
		{name: "a retry of an abandoned call", calls: []unit.RequestID{"r", "r"}, limit: 1, queued: true, abandon: true, connections: 2},
		{name: "another request", calls: []unit.RequestID{"r", "q"}, limit: 1, connections: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startCopying(t)
			p := newPool(t)
			bodies := make(map[string]bool)
			var results []<-chan leaf.Result
			for i, id := range tt.calls {
				done := make(chan leaf.Result, 1)
				f := p.Send(time.Now(), newCall(t, &s.scriptedServer, id, tt.limit), func(e leaf.Result) { done <- e })
				results = append(results, done)
				if i == 0 {
					<-s.seen
					if tt.abandon {
						f.Abandon(time.Now())
					}
				}
				if !tt.queued {
					if i == 0 {
						close(s.hold)
					}
					bodies[receive(t, done)] = true
				}
			}
			if tt.queued {
				close(s.hold)
				for _, done := range results {
					bodies[receive(t, done)] = true
				}
			}
			for i := range tt.calls {
				assert.Assert(t, bodies[fmt.Sprint(i+1)], "no call got reply %d: %v", i+1, bodies)
			}
			assert.Equal(t, s.connections.Load(), tt.connections)
		})
	}
}

// receive returns the body of a call's reply.
func receive(t *testing.T, done <-chan leaf.Result) string {
	t.Helper()
	select {
	case e := <-done:
		assert.Equal(t, e.Kind, leaf.KindReply, "%v", e.Err)
		return string(e.Reply.Body)
	case <-time.After(10 * time.Second):
		t.Fatal("the call does not complete")
		return ""
	}
}

// TestCarriedRequestsAreBounded checks that a connection forgets a request after many other calls, so that its memory is
// bounded.
func TestCarriedRequestsAreBounded(t *testing.T) {
	tests := []struct {
		name  string
		calls int
		// connections is the number of connections that are opened.
		connections int64
	}{
		{"a few calls", 60, 2},
		{"many calls", 70, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startScripted(t, &scriptedServer{replies: repeated(wholeReply("ID", "a"), tt.calls+2)})
			p := newPool(t)
			for i := range tt.calls {
				assert.Equal(t, call(t, p, s, unit.RequestID(fmt.Sprint("r", i)), 1).Kind, leaf.KindReply)
			}
			assert.Equal(t, call(t, p, s, "r0", 1).Kind, leaf.KindReply)
			assert.Equal(t, s.connections.Load(), tt.connections)
		})
	}
}

// repeated returns a list of n times the same text.
func repeated(text string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = text
	}
	return all
}
