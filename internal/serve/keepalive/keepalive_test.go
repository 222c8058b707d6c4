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
	"gotest.tools/v3/assert"

	"basilspan/internal/serve/port"
)

// TestConnectionCloseAndCleanup checks that a connection is closed, and forgotten, whoever ends it.
func TestConnectionCloseAndCleanup(t *testing.T) {
	tests := []struct {
		name string
		send string
		// during runs while the request is handled, after its answer was marked or not.
		during func(tr *Tracker)
		closed bool
	}{
		{"the caller goes on", "", nil, false},
		{"the caller asks for the end", "Connection: close\r\n", nil, true},
		{"a planned stop closes the idle while this one ends", "", func(tr *Tracker) {
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
				return len(tr.busy) == 0
			})
			stop()
		})
	}
}

// TestAnswerable checks that a request that is read from a connection just as that is closed as idle is told apart.
func TestAnswerable(t *testing.T) {
	tests := []struct {
		name string
		// steps happen in order between the end of the connection's first request and the reading of its second.
		steps []func(tr *Tracker, rc *app.RequestContext)
		want  bool
	}{
		{"no stop", nil, true},
		{"read before the idle are closed", []func(*Tracker, *app.RequestContext){startRequest, closeIdle}, true},
		{"read after the idle are closed", []func(*Tracker, *app.RequestContext){closeIdle, startRequest}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			rc := app.NewContext(0)
			rc.SetConn(mock.NewConn(""))
			startRequest(tr, rc)
			tr.Finish(context.Background(), rc)
			for _, step := range tt.steps {
				step(tr, rc)
			}
			assert.Equal(t, tr.Answerable(rc), tt.want)
		})
	}
}

func startRequest(tr *Tracker, rc *app.RequestContext) {
	tr.Start(context.Background(), rc)
}

func closeIdle(tr *Tracker, _ *app.RequestContext) {
	tr.CloseIdle()
}

func startServer(t *testing.T, tr *Tracker, handle app.HandlerFunc) (address string, stop func()) {
	t.Helper()
	hlog.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := server.New(append(tr.Options(), server.WithListener(listener), server.WithDisablePrintRoute(true))...)
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

func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within 10s")
	}
}
