package keepalive

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"gotest.tools/v3/assert"

	"basilspan/internal/serve/port"
)

// TestConnectionCloseAndCleanup checks that a connection is closed when its caller or a planned stop asks for it, and
// that the tracker drops it whichever side closes it.
func TestConnectionCloseAndCleanup(t *testing.T) {
	tests := []struct {
		name string
		send string
		// during runs in the handler, after CloseIfDraining.
		during func(tr *Tracker)
		closed bool
	}{
		{"the connection stays open", "", nil, false},
		{"the caller sends Connection: close", "Connection: close\r\n", nil, true},
		{"a planned stop while the request is in flight", "", func(tr *Tracker) {
			tr.BeginDrain()
			tr.CloseIdle()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			address, stop := startServer(t, tr, func(_ context.Context, rc *app.RequestContext) {
				tr.CloseIfDraining(rc)
				if tt.during != nil {
					tt.during(tr)
				}
			})
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, "GET /work HTTP/1.1\r\nHost: x\r\n"+tt.send+"\r\n")
			assert.NilError(t, err)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			if tt.closed {
				_, err = r.ReadByte()
				assert.Equal(t, err, io.EOF)
			}
			assert.NilError(t, conn.Close())
			eventually(t, func() bool {
				tr.mu.Lock()
				defer tr.mu.Unlock()
				return len(tr.conns) == 0
			})
			stop()
		})
	}
}

// TestAnswerable checks that a request that is read from a connection after CloseIdle has closed the connection as idle
// is not answerable, while one that was read before is.
func TestAnswerable(t *testing.T) {
	tests := []struct {
		name string
		// steps run in order between the end of the connection's first request and the call of Answerable.
		steps []step
		want  bool
	}{
		{"no stop", nil, true},
		{"read before idle connections are closed", []step{startRequest, closeIdle}, true},
		{"read after idle connections are closed", []step{closeIdle, startRequest}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			ctx := connContext(t)
			rc := app.NewContext(0)
			rc.SetConn(mock.NewConn(""))
			startRequest(ctx, tr, rc)
			tr.Finish(ctx, rc)
			for _, run := range tt.steps {
				run(ctx, tr, rc)
			}
			assert.Equal(t, tr.Answerable(rc), tt.want)
		})
	}
}

// TestPipelinedRequestIsNotAnswerable guards against forwarding a request whose connection a stop has closed.
func TestPipelinedRequestIsNotAnswerable(t *testing.T) {
	tr := New()
	answerable := make(chan bool, 2)
	address, stop := startServer(t, tr, func(_ context.Context, rc *app.RequestContext) {
		answerable <- tr.Answerable(rc)
		tr.CloseIdle()
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const text = "GET /work HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(conn, text+text)
	assert.NilError(t, err)
	assert.Assert(t, <-answerable)
	assert.Assert(t, !<-answerable)
	eventually(t, func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return len(tr.conns) == 0
	})
	stop()
}

// step is a step of TestAnswerable. ctx is the context of the connection of rc.
type step func(ctx context.Context, tr *Tracker, rc *app.RequestContext)

// startRequest starts a request on the connection of rc.
func startRequest(ctx context.Context, tr *Tracker, rc *app.RequestContext) {
	tr.Start(ctx, rc)
}

// closeIdle calls CloseIdle, as a step.
func closeIdle(_ context.Context, tr *Tracker, _ *app.RequestContext) {
	tr.CloseIdle()
}

// connContext returns the context of an accepted connection on which nothing is sent.
func connContext(t *testing.T) context.Context {
	t.Helper()
	listener, err := port.Listen("127.0.0.1:0", port.Bounds{})
	assert.NilError(t, err)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	t.Cleanup(func() {
		_ = accepted.Close()
		_ = dialed.Close()
	})
	return port.Context(accepted)
}

// startServer starts a server with the tracker and returns its address and a function that stops it.
func startServer(t *testing.T, tr *Tracker, handle app.HandlerFunc) (address string, stop func()) {
	t.Helper()
	hlog.SetOutput(io.Discard)
	listener, err := port.Listen("127.0.0.1:0", port.Bounds{})
	assert.NilError(t, err)
	s := server.New(append(tr.Options(), server.WithListener(listener), server.WithDisablePrintRoute(true),
		server.WithTransport(standard.NewTransporter), server.WithOnAccept(port.Context))...)
	s.GET("/work", handle)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run()
	}()
	assert.NilError(t, port.AwaitServing(context.Background(), listener.Addr()))
	return listener.Addr().String(), func() {
		tr.CloseIdle()
		assert.NilError(t, s.Shutdown(context.Background()))
		<-done
	}
}

// eventually polls until check returns true, and fails the test after 10 s.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within 10s")
	}
}
