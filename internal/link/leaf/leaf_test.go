package leaf_test

import (
	"bufio"
	"fmt"
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
	platform "basilspan/internal/platform/leaf"
)

// scriptedServer is an endpoint that answers the requests of each connection by a list of texts, in which "ID" stands for the
// id of the request. A text that ends with "|" closes the connection after it, "!" resets it, and "" leaves the request
// without an answer. Beyond the list the connection is left open.
type scriptedServer struct {
	listener net.Listener
	answers  []string
	// hold, if set, is waited for before each answer.
	hold chan struct{}

	connections atomic.Int64
	requests    atomic.Int64
	wg          sync.WaitGroup
}

func startScripted(t *testing.T, s *scriptedServer) *scriptedServer {
	t.Helper()
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.wg.Add(1)
			go s.serve(c)
		}
	}()
	t.Cleanup(func() {
		_ = s.listener.Close()
		s.wg.Wait()
	})
	return s
}

func (s *scriptedServer) serve(c net.Conn) {
	defer s.wg.Done()
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if s.hold != nil {
			<-s.hold
		}
		if i >= len(s.answers) {
			continue
		}
		text := strings.ReplaceAll(s.answers[i], "ID", id)
		_, _ = io.WriteString(c, strings.TrimRight(text, "|!"))
		switch {
		case strings.HasSuffix(text, "|"):
			return
		case strings.HasSuffix(text, "!"):
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// readRequest reads the header of a request without a body and gives its id.
func readRequest(r *bufio.Reader) (id string, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "Basilspan-Request-Id" {
			id = value
		}
		if name == "" {
			return id, nil
		}
	}
}

func newPool(t *testing.T) *leaf.Pool {
	t.Helper()
	p := leaf.New(time.Now)
	p.Encode = platform.Encode
	p.Decode = platform.Decode
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return p
}

// call makes a call with that id and waits for its end.
func call(t *testing.T, p *leaf.Pool, s *scriptedServer, id unit.RequestID, connections int) leaf.Result {
	t.Helper()
	select {
	case e := <-send(t, p, s, id, connections):
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("the call does not end")
		return leaf.Result{}
	}
}

func send(t *testing.T, p *leaf.Pool, s *scriptedServer, id unit.RequestID, connections int) <-chan leaf.Result {
	t.Helper()
	ends := make(chan leaf.Result, 1)
	p.Send(time.Now(), newCall(t, s, id, connections), func(e leaf.Result) { ends <- e })
	return ends
}

func newCall(t *testing.T, s *scriptedServer, id unit.RequestID, connections int) leaf.Call {
	t.Helper()
	m, err := platform.EncodeMessage(id, "GET", "/x/1?q", "a.example", nil, nil)
	assert.NilError(t, err)
	return leaf.Call{
		Message:        m,
		Endpoint:       "i-1",
		Address:        unit.Address(s.listener.Addr().String()),
		MaxConnections: connections,
		MaxWait:        10 * time.Second,
		Deadline:       time.Now().Add(10 * time.Second),
	}
}

// wholeReply is a whole answer to the request with that id.
func wholeReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBasilspan-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestReplies(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\n"
	tests := []struct {
		name    string
		answers []string
		// want are the kinds and bodies of the ends of calls that are made one after the other.
		want []string
		// connections is how many were made.
		connections int64
	}{
		{"whole replies on one connection", []string{wholeReply("ID", "a"), wholeReply("ID", "b")}, []string{"a", "b"}, 1},
		{"a length that is not reached", []string{head + "Content-Length: 9\r\n\r\nabc|"}, []string{"lost"}, 1},
		{"chunks without an end", []string{head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n|"}, []string{"lost"}, 1},
		{"chunks", []string{head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}, []string{"abc"}, 1},
		{"no length, ended by its connection", []string{head + "\r\nabc|"}, []string{"abc"}, 1},
		{"no length, ended by a reset", []string{head + "\r\nabc!"}, []string{"lost"}, 1},
		{"bytes that are no reply", []string{"\x00\x01\x02 garbage\r\n\r\n|"}, []string{"lost"}, 1},
		{"a reset", []string{"!"}, []string{"lost"}, 1},
		{
			"a reset of a kept connection is not sent again",
			[]string{wholeReply("ID", "a"), "!"},
			[]string{"a", "lost", "a"},
			2,
		},
		{"the end of the connection is announced", []string{head + "Connection: close\r\nContent-Length: 1\r\n\r\na"}, []string{"a", "a"}, 2},
		{"a second reply behind the first", []string{wholeReply("ID", "a") + wholeReply("ID", "x")}, []string{"a", "a"}, 2},
		{
			"a reply to another request before the right one",
			[]string{wholeReply("other", "x") + wholeReply("ID", "a")},
			[]string{"a"},
			1,
		},
		{"a reply to another request alone", []string{wholeReply("other", "x") + "|"}, []string{"lost"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startScripted(t, &scriptedServer{answers: tt.answers})
			p := newPool(t)
			for i, want := range tt.want {
				e := call(t, p, s, unit.RequestID(fmt.Sprint("r", i)), 1)
				got := map[leaf.ResultKind]string{leaf.KindReply: string(e.Reply.Body), leaf.KindLost: "lost", leaf.KindNotSent: "unsent"}
				assert.Equal(t, got[e.Kind], want, "call %d: %v", i, e.Err)
			}
			assert.Equal(t, s.connections.Load(), tt.connections)
			assert.Equal(t, s.requests.Load(), int64(len(tt.want)))
		})
	}
}

// TestLateUnexpectedData checks that a reply that comes once its request has ended is not taken for that of the next one.
func TestLateUnexpectedData(t *testing.T) {
	tests := []struct {
		name string
		// late is sent some time after the whole answer to the first request.
		late string
	}{
		{"a second reply", wholeReply("r0", "x")},
		{"bytes that are no reply", "garbage"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			s := &scriptedServer{listener: listener}
			sent := make(chan struct{})
			go serveLate(listener, tt.late, sent)
			p := newPool(t)
			assert.Equal(t, string(call(t, p, s, "r0", 1).Reply.Body), "a")
			<-sent
			assert.Equal(t, string(call(t, p, s, "r1", 1).Reply.Body), "a")
		})
	}
}

// serveLate answers each request; the first of all gets late behind its answer, after which sent is closed.
func serveLate(listener net.Listener, late string, sent chan struct{}) {
	for first := true; ; first = false {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			_, _ = io.WriteString(c, wholeReply(id, "a"))
			if first && id == "r0" {
				_, _ = io.WriteString(c, late)
				close(sent)
			}
		}
	}
}

// TestConnectionLimit checks what becomes of calls when all connections that the VM may hold are in use.
func TestConnectionLimit(t *testing.T) {
	tests := []struct {
		name        string
		connections int
		calls       int
		// refused is how many calls are refused at once, as too many wait.
		refused int
	}{
		{"all have a connection", 3, 3, 0},
		{"some wait", 2, 5, 0},
		{"too many wait", 1, 8, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			answers := make([]string, tt.calls)
			for i := range answers {
				answers[i] = wholeReply("ID", "a")
			}
			s := startScripted(t, &scriptedServer{answers: answers, hold: make(chan struct{})})
			p := newPool(t)
			var ends []<-chan leaf.Result
			for i := range tt.calls {
				ends = append(ends, send(t, p, s, unit.RequestID(fmt.Sprint("r", i)), tt.connections))
			}
			close(s.hold)
			refused := 0
			for _, e := range ends {
				if end := <-e; end.Kind == leaf.KindNotSent {
					assert.ErrorIs(t, end.Err, leaf.ErrFull)
					refused++
				}
			}
			assert.Equal(t, refused, tt.refused)
			assert.Assert(t, s.connections.Load() <= int64(tt.connections))
		})
	}
}

// TestLargeCallWriteDeadline checks that the time limit of a large call's writing does not hold for the next call of its connection.
func TestLargeCallWriteDeadline(t *testing.T) {
	s := startScripted(t, &scriptedServer{answers: []string{wholeReply("ID", "a"), wholeReply("ID", "b")}})
	p := newPool(t)
	c := newCall(t, s, "large", 1)
	var err error
	c.Message, err = platform.EncodeMessage("large", "GET", "/", "h", []leaf.Field{{Name: "X", Value: strings.Repeat("x", 10_000)}}, nil)
	assert.NilError(t, err)
	c.Deadline = time.Now().Add(200 * time.Millisecond)
	ends := make(chan leaf.Result, 1)
	p.Send(time.Now(), c, func(e leaf.Result) { ends <- e })
	assert.Equal(t, (<-ends).Kind, leaf.KindReply)
	time.Sleep(time.Until(c.Deadline) + 10*time.Millisecond)
	assert.Equal(t, string(call(t, p, s, "next", 1).Reply.Body), "b")
	assert.Equal(t, s.connections.Load(), int64(1))
}

// TestWaitTimeout checks that a call which waits for a connection for too long is not sent any more, and that one which has
// left is not affected.
func TestWaitTimeout(t *testing.T) {
	s := startScripted(t, &scriptedServer{answers: []string{wholeReply("ID", "a"), wholeReply("ID", "b")}, hold: make(chan struct{})})
	p := newPool(t)
	begin := func(id unit.RequestID) <-chan leaf.Result {
		c := newCall(t, s, id, 1)
		c.MaxWait = 20 * time.Millisecond
		ends := make(chan leaf.Result, 1)
		p.Send(time.Now(), c, func(e leaf.Result) { ends <- e })
		return ends
	}
	first, second := begin("first"), begin("second")
	end := <-second
	assert.Equal(t, end.Kind, leaf.KindNotSent)
	assert.ErrorIs(t, end.Err, leaf.ErrFull)
	close(s.hold)
	assert.Equal(t, (<-first).Kind, leaf.KindReply)
	assert.Equal(t, string(call(t, p, s, "third", 1).Reply.Body), "b")
	assert.Equal(t, s.requests.Load(), int64(2))
}

// TestAbandon checks that a call that was abandoned while it waited never leaves, and that one that has left gives its
// connection back with its reply.
func TestAbandon(t *testing.T) {
	s := startScripted(t, &scriptedServer{answers: []string{wholeReply("ID", "a"), wholeReply("ID", "b")}, hold: make(chan struct{})})
	p := newPool(t)
	left := make(chan leaf.Result, 1)
	first := p.Send(time.Now(), newCall(t, s, "left", 1), func(e leaf.Result) { left <- e })
	waits := make(chan leaf.Result, 1)
	second := p.Send(time.Now(), newCall(t, s, "waits", 1), func(e leaf.Result) { waits <- e })
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Abandon(time.Now())
	second.Abandon(time.Now())
	close(s.hold)
	assert.Equal(t, (<-left).Kind, leaf.KindReply)
	assert.Equal(t, (<-waits).Kind, leaf.KindNotSent)
	assert.Equal(t, string(call(t, p, s, "next", 1).Reply.Body), "b")
	assert.Equal(t, s.connections.Load(), int64(1))
	assert.Equal(t, s.requests.Load(), int64(2))
}

// TestAbandonedCallClosesConnection checks that a connection whose abandoned call gets no reply is closed, so that the
// endpoint stops working on it.
func TestAbandonedCallClosesConnection(t *testing.T) {
	s := startScripted(t, &scriptedServer{})
	p := newPool(t)
	ends := make(chan leaf.Result, 1)
	f := p.Send(time.Now(), newCall(t, s, "r", 1), func(e leaf.Result) { ends <- e })
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Abandon(time.Now())
	assert.Equal(t, (<-ends).Kind, leaf.KindLost)
}

// TestNotSent checks that calls that cannot leave end as not sent.
func TestNotSent(t *testing.T) {
	tests := []struct {
		name  string
		calls int
	}{
		{"one", 1},
		{"some that wait for the same connection", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := &scriptedServer{listener: listener}
			assert.NilError(t, listener.Close())
			p := newPool(t)
			var ends []<-chan leaf.Result
			for i := range tt.calls {
				ends = append(ends, send(t, p, s, unit.RequestID(fmt.Sprint("r", i)), 1))
			}
			for _, e := range ends {
				assert.Equal(t, (<-e).Kind, leaf.KindNotSent)
			}
		})
	}
}

// TestWarm checks that a connection that was made beforehand serves the first call, and that one to an endpoint that
// is gone is closed.
func TestWarm(t *testing.T) {
	s := startScripted(t, &scriptedServer{answers: []string{wholeReply("ID", "a")}})
	p := newPool(t)
	address := unit.Address(s.listener.Addr().String())
	p.Warm(address)
	p.Warm(address)
	for s.connections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, string(call(t, p, s, "r", 1).Reply.Body), "a")
	assert.Equal(t, s.connections.Load(), int64(1))
	p.Retain(map[unit.Address]bool{})
	assert.Equal(t, call(t, p, s, "r", 1).Kind, leaf.KindReply)
	assert.Equal(t, s.connections.Load(), int64(2))
}
