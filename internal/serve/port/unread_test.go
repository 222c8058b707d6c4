package port

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContextEndsBehindUnreadInput guards against a request that goes on for a caller that has left after it sent more.
func TestContextEndsBehindUnreadInput(t *testing.T) {
	tests := []struct {
		name string
		more string
		end  func(caller *net.TCPConn) error
	}{
		{"nothing more was sent", "", (*net.TCPConn).Close},
		{"an empty line was sent", "\r\n", (*net.TCPConn).Close},
		{"a further request was sent", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", (*net.TCPConn).Close},
		{"a reset after an empty line", "\r\n", reset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			accepted, caller := pair(t, Bounds{})
			_, err := io.WriteString(caller, "request")
			assert.NilError(t, err)
			read := make([]byte, len("request"))
			_, err = io.ReadFull(accepted, read)
			assert.NilError(t, err)
			_, err = io.WriteString(caller, tt.more)
			assert.NilError(t, err)
			assert.NilError(t, tt.end(caller))
			select {
			case <-accepted.ctx.Done():
			case <-time.After(2 * time.Second):
				t.Fatal("the context goes on after the caller has closed the connection")
			}
		})
	}
}
