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

// testTimeout bounds every wait of a test. It is generous because no result depends on how fast an event occurs.
const testTimeout = 20 * time.Second

// startLink starts a link on a free port. register adds its methods.
func startLink(t *testing.T, register func(l *Link)) *Link {
	t.Helper()
	l := New("127.0.0.1:0")
	register(l)
	assert.NilError(t, l.start(context.Background()))
	t.Cleanup(func() { _ = l.close() })
	return l
}

// noMethods registers nothing, for links that only make calls.
func noMethods(*Link) {}

// TestCallErrors checks which failed calls are reported as not sent. Only those may be repeated by callers whose
// requests must run at most once.
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
		{"a paused process only accepts the connection", unit.Address(silent.Addr().String()), "echo", true},
		{"an unknown method", peer.Address(), "echo", true},
		{"a failed method may have run", peer.Address(), "fail", false},
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

// TestCancelReachesPeer cancels a call while the peer runs it. The context of the handler must end.
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
		t.Fatal("the call was not cancelled at the peer")
	}
}

// TestCloseAnswersCallsInFlight closes the peer during a call. That call must be answered, and a later call must be
// rejected without being run.
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
		assert.Assert(t, time.Now().Before(end), "the peer did not begin to close")
	}
	err := l.Call(context.Background(), peer.Address(), "work", wireEcho{}, nil)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	close(finish)
	assert.NilError(t, <-first)
	assert.Equal(t, reply.Text, "done")
	assert.NilError(t, <-closed)
	assert.Equal(t, runs.Load(), int64(1))
}

// TestQueueingDelay delays a call between two links, as a paused process does. QueueingDelay must report the delay
// beyond the first call.
func TestQueueingDelay(t *testing.T) {
	const holdTime = 200 * time.Millisecond
	delays := make(chan time.Duration, 2)
	peer := startLink(t, func(l *Link) {
		Handle(l, "delay", func(ctx context.Context, w wireEcho) (wireEcho, error) {
			delays <- QueueingDelay(ctx)
			return w, nil
		})
	})
	open := make(chan struct{})
	close(open)
	// The relay forwards bytes once the current channel is closed.
	resume := atomic.Pointer[chan struct{}]{}
	resume.Store(&open)
	relay := startRelay(t, peer.Address(), func() { <-*resume.Load() })
	l := startLink(t, noMethods)
	assert.NilError(t, l.Call(context.Background(), relay, "delay", wireEcho{}, nil))
	<-delays
	paused := make(chan struct{})
	resume.Store(&paused)
	time.AfterFunc(holdTime, func() { close(paused) })
	assert.NilError(t, l.Call(context.Background(), relay, "delay", wireEcho{}, nil))
	assert.Assert(t, <-delays >= holdTime/2)
}

// TestQueueingDelayIncludesWaitForProcessor guards against calls that begin late on a busy VM and count from there.
func TestQueueingDelayIncludesWaitForProcessor(t *testing.T) {
	const wait = 50 * time.Millisecond
	delays := make(chan time.Duration, 1)
	peer := startLink(t, func(l *Link) {
		Handle(l, "delay", func(ctx context.Context, w wireEcho) (wireEcho, error) {
			time.Sleep(wait)
			delays <- QueueingDelay(ctx)
			return w, nil
		})
	})
	assert.NilError(t, startLink(t, noMethods).Call(context.Background(), peer.Address(), "delay", wireEcho{}, nil))
	assert.Assert(t, <-delays >= wait)
}

// startRelay returns the address of a proxy to another address. For bytes sent to that address, it calls wait before
// it forwards each chunk.
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

// copyChunks copies from one connection to another until either ends. It calls wait before each write.
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

// TestCloseDuringConnect closes a link while it connects to a peer that accepts the connection and never responds.
// The close must end the attempt, and the call must be reported as not sent.
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
