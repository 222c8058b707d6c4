package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDisconnectEndsCalls guards against calls that go on after their connection has ended, while the peer that made them
// makes them again elsewhere: the portions of a search then reach more endpoints of a shard than its route allows.
func TestDisconnectEndsCalls(t *testing.T) {
	tests := []struct {
		name  string
		calls []string
		end   func(c *net.TCPConn) error
	}{
		{"closed", []string{"1"}, (*net.TCPConn).Close},
		{"reset", []string{"1"}, func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}},
		{"several calls, two with one ID", []string{"1", "1", "2"}, (*net.TCPConn).Close},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			running, ended := make(chan struct{}, len(tt.calls)), make(chan struct{}, len(tt.calls))
			l := startLink(t, func(l *Link) {
				Handle(l, "wait", func(ctx context.Context, w wireEcho) (wireEcho, error) {
					running <- struct{}{}
					select {
					case <-ctx.Done():
						ended <- struct{}{}
					case <-time.After(testTimeout):
					}
					return w, nil
				})
			})
			c := connectRaw(t, l)
			for _, id := range tt.calls {
				_, err := fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,"method":"wait","params":{"text":"x"}}`, id)
				assert.NilError(t, err)
				<-running
			}
			assert.NilError(t, tt.end(c.(*net.TCPConn)))
			for range tt.calls {
				select {
				case <-ended:
				case <-time.After(2 * time.Second):
					t.Fatal("a call goes on after its connection has ended")
				}
			}
		})
	}
}
