package port

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 20 * time.Second

// pair returns both ends of a connection that a listener with these bounds has accepted.
func pair(t *testing.T, bounds Bounds) (accepted *Conn, caller *net.TCPConn) {
	t.Helper()
	accepted, caller, watch := unwatchedPair(t, bounds)
	watch()
	return accepted, caller
}

// unwatchedPair is like pair, but the connection is watched only from the call of watch on.
func unwatchedPair(t *testing.T, bounds Bounds) (accepted *Conn, caller *net.TCPConn, watch func()) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", bounds)
	assert.NilError(t, err)
	dialed, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err = l.acceptUnwatched()
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	caller = dialed.(*net.TCPConn)
	t.Cleanup(func() {
		assert.NilError(t, accepted.Close())
		_ = caller.Close()
		l.AwaitConns(waitTimeout)
	})
	return accepted, caller, func() { go accepted.watch() }
}

// reset ends the caller's side of a connection with a reset.
func reset(caller *net.TCPConn) error {
	if err := caller.SetLinger(0); err != nil {
		return err
	}
	return caller.Close()
}

// awaitArrival waits until input or the end of the input is in the socket.
func awaitArrival(c *Conn) {
	for !c.hasInput() && !ended(c) {
		time.Sleep(time.Millisecond)
	}
}

// ended reports whether the caller has closed the connection.
func ended(c *Conn) (ended bool) {
	_ = c.raw.Control(func(fd uintptr) { ended = peerEnded(fd) })
	return ended
}

// TestContextEndsWithConnection guards against requests that go on for callers that have left.
func TestContextEndsWithConnection(t *testing.T) {
	tests := []struct {
		name string
		end  func(accepted *Conn, caller *net.TCPConn) error
	}{
		{"the caller closes", func(_ *Conn, caller *net.TCPConn) error { return caller.Close() }},
		{"the caller resets", func(_ *Conn, caller *net.TCPConn) error { return reset(caller) }},
		{"the caller sends no more", func(_ *Conn, caller *net.TCPConn) error { return caller.CloseWrite() }},
		{"the server disconnects", func(accepted *Conn, _ *net.TCPConn) error {
			accepted.Disconnect()
			return nil
		}},
		{"the server closes", func(accepted *Conn, _ *net.TCPConn) error { return accepted.Close() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller := pair(t, Bounds{})
			_, err := io.WriteString(caller, "request")
			assert.NilError(t, err)
			b := make([]byte, 100)
			n, err := accepted.Read(b)
			assert.NilError(t, err)
			assert.Equal(t, string(b[:n]), "request")
			assert.NilError(t, accepted.ctx.Err())
			assert.NilError(t, tt.end(accepted, caller))
			select {
			case <-accepted.ctx.Done():
			case <-time.After(waitTimeout):
				t.Fatal("the context did not end")
			}
			_, err = accepted.Read(b)
			assert.Assert(t, err != nil)
			_, err = accepted.Read(b)
			assert.Assert(t, err != nil)
		})
	}
}

// TestReadTimeout checks what Read returns when nothing comes, and that input that has come is read however late.
func TestReadTimeout(t *testing.T) {
	tests := []struct {
		name   string
		bounds Bounds
		// sent is what the caller has sent and is read before.
		sent string
		// answered reports whether that is answered, and a first byte of the next request is read.
		answered bool
		// deadline is set after that, if it is not 0.
		deadline time.Duration
		want     error
	}{
		{"no first byte", Bounds{Idle: 20 * time.Millisecond, Read: time.Hour}, "", false, 0, io.EOF},
		{"no further byte of the first request", Bounds{Idle: time.Hour, Read: 20 * time.Millisecond}, "a", false, 0, os.ErrDeadlineExceeded},
		{"no byte of a later request", Bounds{Idle: time.Hour, Read: time.Hour}, "a", false, 20 * time.Millisecond, os.ErrDeadlineExceeded},
		{"no further byte of a later request", Bounds{Idle: time.Hour, Read: 20 * time.Millisecond}, "a", true, 0, os.ErrDeadlineExceeded},
		{"a deadline that has passed", Bounds{}, "a", false, -time.Second, os.ErrDeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller := pair(t, tt.bounds)
			b := make([]byte, 100)
			if tt.sent != "" {
				_, err := io.WriteString(caller, tt.sent)
				assert.NilError(t, err)
				_, err = accepted.Read(b)
				assert.NilError(t, err)
			}
			if tt.answered {
				accepted.Answered()
				assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Hour)))
				_, err := io.WriteString(caller, "b")
				assert.NilError(t, err)
				_, err = accepted.Read(b)
				assert.NilError(t, err)
			}
			if tt.deadline != 0 {
				assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(tt.deadline)))
			}
			_, err := accepted.Read(b)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			assert.NilError(t, accepted.SetReadDeadline(time.Time{}))
			_, err = io.WriteString(caller, "late")
			assert.NilError(t, err)
			n, err := accepted.Read(b)
			assert.NilError(t, err)
			assert.Equal(t, string(b[:n]), "late")
		})
	}
}

// TestReadAfterPause guards against cutting a request whose bytes came while the process was paused.
func TestReadAfterPause(t *testing.T) {
	tests := []struct {
		name string
		// act is what the caller does before the timeout.
		act     func(caller *net.TCPConn) error
		want    string
		wantErr error
	}{
		{"input has come", func(caller *net.TCPConn) error {
			_, err := io.WriteString(caller, "request")
			return err
		}, "request", nil},
		{"the caller has closed", (*net.TCPConn).Close, "", io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller, watch := unwatchedPair(t, Bounds{Idle: time.Millisecond})
			assert.NilError(t, tt.act(caller))
			awaitArrival(accepted)
			time.AfterFunc(50*time.Millisecond, watch)
			b := make([]byte, 100)
			n, err := accepted.Read(b)
			assert.Equal(t, err, tt.wantErr)
			assert.Equal(t, string(b[:n]), tt.want)
			if tt.wantErr != nil {
				return
			}
			assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Millisecond)))
			_, err = accepted.Read(b)
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		})
	}
}

// TestWriteAfterPause guards against cutting a response for which the caller made room during a pause.
func TestWriteAfterPause(t *testing.T) {
	accepted, caller := pair(t, Bounds{Write: 20 * time.Millisecond})
	response := make([]byte, 32<<20)
	received := make(chan int64, 1)
	time.AfterFunc(100*time.Millisecond, func() {
		n, _ := io.CopyN(io.Discard, caller, int64(len(response)))
		received <- n
	})
	n, err := accepted.Write(response)
	assert.NilError(t, err)
	assert.Equal(t, n, len(response))
	assert.Equal(t, <-received, int64(len(response)))
}

// TestWriteTimeout guards against a caller that does not read its response and holds the connection for ever.
func TestWriteTimeout(t *testing.T) {
	accepted, _ := pair(t, Bounds{Write: 20 * time.Millisecond})
	block := make([]byte, 1<<20)
	var err error
	for range 100 {
		if _, err = accepted.Write(block); err != nil {
			break
		}
	}
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// TestRequestThatHasComeIsNotIdle guards against a stop that closes a connection whose request it has not seen yet.
func TestRequestThatHasComeIsNotIdle(t *testing.T) {
	tests := []struct {
		name string
		// sent is what the caller sends, of which read bytes are read.
		sent     string
		read     int
		answered bool
		want     bool
	}{
		{"nothing has come", "", 0, false, true},
		{"a request that is unread", "request", 0, false, false},
		{"a request that is read", "request", 7, false, false},
		{"a request that is answered", "request", 7, true, true},
		{"a second request that is unread", "requestrequest", 7, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller := pair(t, Bounds{})
			_, err := io.WriteString(caller, tt.sent)
			assert.NilError(t, err)
			if tt.sent != "" {
				awaitArrival(accepted)
			}
			if tt.read > 0 {
				_, err = io.ReadFull(accepted, make([]byte, tt.read))
				assert.NilError(t, err)
			}
			if tt.answered {
				accepted.Answered()
			}
			assert.Equal(t, accepted.Idle(), tt.want)
		})
	}
}

// TestCloseKeepsResponse guards against a response that is lost since the request was not read to its end.
func TestCloseKeepsResponse(t *testing.T) {
	accepted, caller := pair(t, Bounds{})
	_, err := io.WriteString(caller, "a request that is not read")
	assert.NilError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, err = io.WriteString(accepted, "refused")
	assert.NilError(t, err)
	assert.NilError(t, accepted.Close())
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "refused")
}

// TestRoundTrip checks that the kernel's estimate is available through the context of a connection.
func TestRoundTrip(t *testing.T) {
	accepted, _ := pair(t, Bounds{})
	rtt, ok := FromContext(Context(accepted)).RoundTrip()
	assert.Assert(t, ok)
	assert.Assert(t, rtt > 0)
	assert.Assert(t, FromContext(context.Background()) == nil)
}

// TestEndlessInput checks that a connection reads a bounded number of bytes between two writes.
func TestEndlessInput(t *testing.T) {
	tests := []struct {
		name   string
		bound  unit.Bytes
		writes int
		want   int
	}{
		{"no write", 10, 0, 12},
		{"one write", 10, 1, 24},
		{"no bound", 0, 0, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller := pair(t, Bounds{Unanswered: tt.bound})
			_, err := caller.Write(make([]byte, 100))
			assert.NilError(t, err)
			read, writes := 0, 0
			for read < 100 {
				n, err := accepted.Read(make([]byte, 4))
				read += n
				if err == nil {
					continue
				}
				assert.ErrorIs(t, err, errOversized)
				if writes == tt.writes {
					break
				}
				writes++
				_, err = accepted.Write([]byte("a"))
				assert.NilError(t, err)
			}
			assert.Equal(t, read, tt.want)
		})
	}
}
