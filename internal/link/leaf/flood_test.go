package leaf_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// maxFlood is the number of bytes after which a floodServer stops sending and only keeps its connection open.
const maxFlood = 64 << 20

// floodServer replies to the first request of its first connection with text and then repeat without end, until the
// caller closes the connection. On later connections it sends whole replies.
type floodServer struct {
	scriptedServer
	text   string
	repeat string
	// start, if set, delays the flood until it is closed.
	start chan struct{}

	flooded atomic.Int64
	// ended is closed when the caller has closed the flooded connection.
	ended chan struct{}
}

func startFlood(t *testing.T, s *floodServer) *floodServer {
	t.Helper()
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.ended = make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for first := true; ; first = false {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { _ = c.Close() }()
				s.handle(c, first)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = s.listener.Close()
		wg.Wait()
	})
	return s
}

func (s *floodServer) handle(c net.Conn, first bool) {
	r := bufio.NewReader(c)
	for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
		s.requests.Add(1)
		if first {
			s.flood(c, id)
			return
		}
		_, _ = io.WriteString(c, wholeReply(id, "a"))
	}
}

// flood sends the endless reply and returns when the caller has closed the connection.
func (s *floodServer) flood(c net.Conn, id string) {
	defer close(s.ended)
	if s.start != nil {
		<-s.start
	}
	_, err := io.WriteString(c, strings.ReplaceAll(s.text, "ID", id))
	block := strings.Repeat(s.repeat, 1+(32<<10)/len(s.repeat))
	for n := 0; err == nil && s.flooded.Load() < maxFlood; s.flooded.Add(int64(n)) {
		n, err = io.WriteString(c, block)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// TestEndlessReplies guards against a reply without end that holds its call and its connection.
func TestEndlessReplies(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	tests := []struct {
		name   string
		text   string
		repeat string
		closed string
	}{
		{"no line end", "", "x", "oversized"},
		{"status line", "HTTP/1.1 200 ", "x", "oversized"},
		{"field name", head + "X", "x", "oversized"},
		{"field value", head + "X: ", "x", "oversized"},
		{"fields", head, "X: 1\r\n", "oversized"},
		{"folded field", head + "X: 1", "\r\n 1", "oversized"},
		{"space before a folded line", head + "X: 1\r\n", " ", "oversized"},
		{"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n", "oversized"},
		{"replies to other requests", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "surplus"},
		{"body without a length", head + "\r\n", "x", "oversized"},
		{"body longer than the limit", head + "Content-Length: 99999999\r\n\r\n", "x", "oversized"},
		{"chunks", chunked, "3\r\nabc\r\n", "oversized"},
		{"one chunk", chunked + "fffffff\r\n", "x", "oversized"},
		{"chunk size", chunked, "1", "broken"},
		{"chunk extension", chunked + "1;", "x", "broken"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", "broken"},
		{"trailer", chunked + "0\r\n", "X: 1\r\n", "broken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startFlood(t, &floodServer{text: tt.text, repeat: tt.repeat})
			p := newPool(t)
			var closed countedNames
			p.Count = closed.add
			result := call(t, p, &s.scriptedServer, "r", 1)
			assert.Equal(t, result.Kind, leaf.KindLost)
			assert.Assert(t, len(result.Err.Error()) < 500, "long error text: %.500s", result.Err)
			<-s.ended
			assert.Assert(t, s.flooded.Load() < maxFlood)
			assert.Equal(t, closed.count("leaf.closed."+tt.closed), 1, "%v", result.Err)
			assert.Equal(t, call(t, p, &s.scriptedServer, "next", 1).Kind, leaf.KindReply)
		})
	}
}

// TestEndlessDataWithoutCall checks that an endless reply to an abandoned call, or without a call, closes its connection.
func TestEndlessDataWithoutCall(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		repeat  string
		abandon bool
		want    leaf.ResultKind
	}{
		{"abandoned call, endless head", "HTTP/1.1 200 OK\r\n", "X: 1\r\n", true, leaf.KindLost},
		{
			"abandoned call, endless body",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true, leaf.KindLost,
		},
		{"after the reply", wholeReply("ID", "a"), "x", false, leaf.KindReply},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startFlood(t, &floodServer{text: tt.text, repeat: tt.repeat, start: make(chan struct{})})
			p := newPool(t)
			results := make(chan leaf.Result, 1)
			f := p.Send(time.Now(), newCall(t, &s.scriptedServer, "r", 1), func(e leaf.Result) { results <- e })
			for s.requests.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tt.abandon {
				f.Abandon(time.Now())
			}
			close(s.start)
			select {
			case result := <-results:
				assert.Equal(t, result.Kind, tt.want)
				<-s.ended
			case <-time.After(10 * time.Second):
				t.Fatal("the call does not complete")
			}
			assert.Equal(t, call(t, p, &s.scriptedServer, unit.RequestID("next"), 1).Kind, leaf.KindReply)
		})
	}
}

// countedNames counts the names that a pool's Count is called with.
type countedNames struct {
	mu    sync.Mutex
	names map[string]int
}

func (c *countedNames) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.names == nil {
		c.names = make(map[string]int)
	}
	c.names[name]++
}

func (c *countedNames) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names[name]
}
