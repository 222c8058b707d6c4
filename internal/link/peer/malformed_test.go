package peer

import (
	"context"
	"fmt"
	"net"
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
