package leaf_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// TestWithdrawnCalls guards against sending queued calls to an endpoint that has turned an earlier one away.
func TestWithdrawnCalls(t *testing.T) {
	const head = "HTTP/1.1 503 X\r\nBasilspan-Request-Id: ID\r\nContent-Length: 0\r\n"
	tests := []struct {
		name  string
		reply string
		// connections is how many connections are opened in all.
		connections int64
	}{
		{"the connection stays open", head + "Retry-After: 2\r\n\r\n", 1},
		{"the connection is closed", head + "Retry-After: 2\r\nConnection: close\r\n\r\n|", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startScripted(t, &scriptedServer{replies: []string{tt.reply}, hold: make(chan struct{})})
			p := newPool(t)
			var turnedAway atomic.Bool
			start := func(id unit.RequestID) <-chan leaf.Result {
				c := newCall(t, s, id, 1)
				c.Allowed = func(time.Time) bool { return !turnedAway.Load() }
				results := make(chan leaf.Result, 1)
				p.Send(time.Now(), c, func(e leaf.Result) {
					if e.Reply.RetryAfter > 0 {
						turnedAway.Store(true)
					}
					results <- e
				})
				return results
			}
			first := start("r1")
			queued := []<-chan leaf.Result{start("r2"), start("r3")}
			close(s.hold)
			assert.Equal(t, (<-first).Reply.RetryAfter, 2*time.Second)
			for _, results := range append(queued, start("r4")) {
				e := <-results
				assert.Equal(t, e.Kind, leaf.KindNotSent, "%v", e.Err)
				assert.Assert(t, leaf.IsLocalFailure(e.Err) && strings.Contains(e.Err.Error(), "no further calls"))
			}
			assert.Equal(t, s.requests.Load(), int64(1))
		})
	}
}

// TestRetainWithdrawsCalls guards against calls that wait for a connection to an endpoint that has left, although they
// will not be sent.
func TestRetainWithdrawsCalls(t *testing.T) {
	tests := []struct {
		name string
		left bool
		want leaf.ResultKind
	}{
		{"the endpoint has left", true, leaf.KindNotSent},
		{"the endpoint is still there", false, leaf.KindReply},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reply := wholeReply("ID", "a")
			s := startScripted(t, &scriptedServer{replies: []string{reply, reply}, hold: make(chan struct{})})
			replyNow := sync.OnceFunc(func() { close(s.hold) })
			t.Cleanup(replyNow)
			p := newPool(t)
			first := send(t, p, s, "r1", 1)
			c := newCall(t, s, "r2", 1)
			var left atomic.Bool
			c.Allowed = func(time.Time) bool { return !left.Load() }
			results := make(chan leaf.Result, 1)
			p.Send(time.Now(), c, func(e leaf.Result) { results <- e })
			left.Store(tt.left)
			p.Retain(time.Now(), map[unit.Address]bool{c.Address: !tt.left})
			if tt.left {
				e := <-results
				assert.Equal(t, e.Kind, tt.want)
				assert.ErrorContains(t, e.Err, "no further calls")
			}
			replyNow()
			assert.Equal(t, (<-first).Kind, leaf.KindReply)
			if !tt.left {
				assert.Equal(t, (<-results).Kind, tt.want)
			}
		})
	}
}
