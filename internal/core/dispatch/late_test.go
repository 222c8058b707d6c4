package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestCallerGoneBeforeStart guards against calls for a request or a portion whose caller left before it was begun.
func TestCallerGoneBeforeStart(t *testing.T) {
	tests := []struct {
		name  string
		serve func(ctx context.Context, d *Dispatcher)
	}{
		{"a divided request", func(ctx context.Context, d *Dispatcher) {
			q := &Request{ID: "r", Host: "h", Method: "GET", URI: "/x", Path: "/x", Arrived: time.Now()}
			assert.Equal(t, d.Serve(ctx, q).Code, unit.CodeCallerGone)
		}},
		{"a portion of another VM's request", func(ctx context.Context, d *Dispatcher) {
			w := wirePortion{
				ID: "r", Method: "GET", Services: []unit.ServiceName{"s00", "s01"}, TopK: 5, Attempts: 2,
				Target: time.Minute.Microseconds(), PartialDeadline: time.Minute.Microseconds(),
				Deadline: time.Minute.Microseconds(),
			}
			assert.DeepEqual(t, d.servePortion(ctx, w).Sent, []int{0, 0})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster()
			for _, d := range c.vms {
				d.Views.Publish(c.view)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			tt.serve(ctx, c.vms[0])
			c.mu.Lock()
			defer c.mu.Unlock()
			assert.Equal(t, len(c.arrivals), 0)
		})
	}
}
