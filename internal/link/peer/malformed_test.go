package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectRaw opens a connection to the port of a link, on which the test sends bytes of its own.
func connectRaw(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", string(l.Address()))
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestMalformedMessages checks that a malformed or endless message closes its own connection only.
func TestMalformedMessages(t *testing.T) {
	tests := []struct {
		name string
		text string
		// repeat, if set, is sent after text until the connection is closed.
		repeat string
	}{
		{"not JSON", "GET / HTTP/1.1\r\n\r\n", ""},
		{"list", "[1]", ""},
		{"ID too large", `{"jsonrpc":"2.0","id":1e300,"method":"echo","params":{}}`, ""},
		{"nested lists", `{"params":` + strings.Repeat("[", 100_000), ""},
		{"nested objects", strings.Repeat(`{"params":`, 100_000), ""},
		{"text without end", `{"jsonrpc":"2.0","method":"`, strings.Repeat("x", 64<<10)},
		{"space without end", " ", strings.Repeat(" ", 64<<10)},
		{"fields without end", `{"jsonrpc":"2.0","id":1,"method":"echo"`, strings.Repeat(`,"x":1`, 10_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := startLink(t, func(l *Link) {
				Handle(l, "echo", func(_ context.Context, w wireEcho) (wireEcho, error) { return w, nil })
			})
			c := connectRaw(t, l)
			_, err := io.WriteString(c, tt.text)
			for n := 0; tt.repeat != "" && err == nil; n += len(tt.repeat) {
				assert.Assert(t, n < 4*maxMessageBytes, "the connection stays open")
				_, err = io.WriteString(c, tt.repeat)
			}
			_, _ = io.Copy(io.Discard, c)
			caller := startLink(t, noMethods)
			assert.NilError(t, caller.Call(context.Background(), l.Address(), "echo", wireEcho{}, nil))
		})
	}
}

// TestRepeatedCallIDs checks that calls in flight with the same ID, or with text as ID, don't end the process.
func TestRepeatedCallIDs(t *testing.T) {
	tests := []struct {
		name string
		ids  []string
	}{
		{"one ID twice", []string{"7", "7"}},
		{"text as IDs", []string{`"a"`, `"b"`}},
		{"negative IDs", []string{"-1", "-1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			arrived, release := make(chan struct{}, len(tt.ids)), make(chan struct{})
			l := startLink(t, func(l *Link) {
				Handle(l, "wait", func(_ context.Context, w wireEcho) (wireEcho, error) {
					arrived <- struct{}{}
					<-release
					return w, nil
				})
			})
			c := connectRaw(t, l)
			for _, id := range tt.ids {
				_, err := fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,"method":"wait","params":{}}`, id)
				assert.NilError(t, err)
				<-arrived
			}
			close(release)
			caller := startLink(t, noMethods)
			assert.NilError(t, caller.Call(context.Background(), l.Address(), methodHello, struct{}{}, nil))
			assert.NilError(t, l.close())
		})
	}
}
