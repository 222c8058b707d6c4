package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// testTimeout bounds what a test waits for; no verdict depends on how soon it comes.
const testTimeout = 20 * time.Second

// startLink gives a link that listens, with the methods that add adds.
func startLink(t *testing.T, add func(l *Link)) *Link {
	t.Helper()
	l := New("127.0.0.1:0")
	add(l)
	assert.NilError(t, l.start(context.Background()))
	t.Cleanup(func() { _ = l.close() })
	return l
}

func noMethods(*Link) {}

func TestCallErrors(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	absent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, absent.Close())
	peer := startLink(t, func(l *Link) {
		Handle(l, "fail", func(context.Context, wireEcho) (wireEcho, error) { return wireEcho{}, errors.New("failed") })
	})
	tests := []struct {
		name    string
		to      unit.Address
		method  Method
		notSent bool
	}{
		{"nothing listens", unit.Address(absent.Addr().String()), "echo", true},
		{"a process that is paused takes the connection only", unit.Address(silent.Addr().String()), "echo", true},
		{"an unknown method", peer.Address(), "echo", true},
		{"a method that fails may have run", peer.Address(), "fail", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := startLink(t, noMethods)
			err := l.Call(context.Background(), tt.to, tt.method, wireEcho{}, nil)
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, ErrNotSent), tt.notSent, "%v", err)
		})
	}
}

func TestCancelReachesPeer(t *testing.T) {
	running, ended := make(chan struct{}), make(chan struct{})
	peer := startLink(t, func(l *Link) {
		Handle(l, "wait", func(ctx context.Context, _ wireEcho) (wireEcho, error) {
			close(running)
			<-ctx.Done()
			close(ended)
			return wireEcho{}, nil
		})
	})
	l := startLink(t, noMethods)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-running
		cancel()
	}()
	err := l.Call(ctx, peer.Address(), "wait", wireEcho{}, nil)
	assert.Assert(t, errors.Is(err, context.Canceled))
	assert.Assert(t, !errors.Is(err, ErrNotSent))
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the peer still runs the call")
	}
}

// TestCloseAnswersCallsInFlight closes the peer while a call is under way: that call is answered, a later one is not run.
func TestCloseAnswersCallsInFlight(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	var runs atomic.Int64
	peer := New("127.0.0.1:0")
	Handle(peer, "work", func(context.Context, wireEcho) (wireEcho, error) {
		if runs.Add(1) == 1 {
			close(running)
			<-finish
		}
		return wireEcho{Text: "done"}, nil
	})
	assert.NilError(t, peer.start(context.Background()))
	l := startLink(t, noMethods)
	first := make(chan error, 1)
	var reply wireEcho
	go func() { first <- l.Call(context.Background(), peer.Address(), "work", wireEcho{}, &reply) }()
	<-running
	closed := make(chan error, 1)
	go func() { closed <- peer.close() }()
	closing := func() bool {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		for s := range peer.incoming {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.closed
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !closing(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the peer does not close")
	}
	err := l.Call(context.Background(), peer.Address(), "work", wireEcho{}, nil)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	close(finish)
	assert.NilError(t, <-first)
	assert.Equal(t, reply.Text, "done")
	assert.NilError(t, <-closed)
	assert.Equal(t, runs.Load(), int64(1))
}

// TestQueueingDelay holds calls back between two links, as a paused process does.
func TestQueueingDelay(t *testing.T) {
	const held = 200 * time.Millisecond
	delays := make(chan time.Duration, 2)
	peer := startLink(t, func(l *Link) {
		Handle(l, "delay", func(ctx context.Context, w wireEcho) (wireEcho, error) {
			delays <- QueueingDelay(ctx)
			return w, nil
		})
	})
	hold := make(chan struct{})
	close(hold)
	gate := atomic.Pointer[chan struct{}]{}
	gate.Store(&hold)
	relay := startRelay(t, peer.Address(), func() { <-*gate.Load() })
	l := startLink(t, noMethods)
	assert.NilError(t, l.Call(context.Background(), relay, "delay", wireEcho{}, nil))
	<-delays
	paused := make(chan struct{})
	gate.Store(&paused)
	time.AfterFunc(held, func() { close(paused) })
	assert.NilError(t, l.Call(context.Background(), relay, "delay", wireEcho{}, nil))
	assert.Assert(t, <-delays >= held/2)
}

// startRelay gives an address whose bytes go on to another, each chunk after wait has returned.
func startRelay(t *testing.T, to unit.Address, wait func()) unit.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", string(to))
		if err != nil {
			return
		}
		go copyChunks(in, out, func() {})
		copyChunks(out, in, wait)
	}()
	return unit.Address(listener.Addr().String())
}

// copyChunks copies from one connection to another until either ends.
func copyChunks(to, from net.Conn, wait func()) {
	defer func() { _ = to.Close() }()
	chunk := make([]byte, 4096)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		wait()
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// TestCloseDuringConnect closes a link while it connects to a peer that takes the connection and never answers.
func TestCloseDuringConnect(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	to := unit.Address(silent.Addr().String())
	l := New("127.0.0.1:0")
	assert.NilError(t, l.start(context.Background()))
	called := make(chan error, 1)
	go func() { called <- l.Call(context.Background(), to, "echo", wireEcho{}, nil) }()
	c, err := silent.Accept()
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, l.close())
	d := l.connTo(to)
	d.mu.Lock()
	assert.Assert(t, d.dialling == nil)
	assert.Assert(t, d.conn == nil)
	d.mu.Unlock()
	assert.Assert(t, errors.Is(<-called, ErrNotSent))
	assert.Assert(t, errors.Is(l.Call(context.Background(), to, "echo", wireEcho{}, nil), ErrNotSent))
}
