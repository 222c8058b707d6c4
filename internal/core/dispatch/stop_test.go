package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/shutdown"
)

// TestRequestsEndBeforeStop guards against requests and portions in flight when the port for callers closes.
func TestRequestsEndBeforeStop(t *testing.T) {
	const left = 100 * time.Millisecond
	tests := []struct {
		name string
		do   func(c *cluster)
		// during means that the request arrives after the stop has begun.
		during bool
		code   unit.Code
	}{
		{"in flight, a VM does not respond", func(c *cluster) { c.mute["n1"], c.mute["n3"] = true, true }, false, unit.CodeStopped},
		{"in flight, silent endpoints", func(c *cluster) { c.silence(3) }, false, unit.CodeStopped},
		{"in flight, enough shards replied", func(c *cluster) { c.silence(1) }, false, unit.CodePartial},
		{"read during the stop, a VM does not respond", func(c *cluster) {
			c.mute["n1"], c.mute["n3"] = true, true
			c.route.TargetLatency = left / 2
		}, true, unit.CodeStopped},
		{"read too late", func(*cluster) {}, true, unit.CodeStopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster()
			c.route.Timeout = time.Minute
			c.route.TargetLatency = time.Minute / 2
			tt.do(c)
			for _, d := range c.vms {
				d.Views.Publish(c.view)
			}
			stop := func() {
				now := time.Now()
				for _, d := range c.vms {
					d.BeginDrain(shutdown.Schedule{Began: now, AnswerBy: now.Add(left)})
				}
			}
			if tt.during {
				stop()
			} else {
				time.AfterFunc(left/5, stop)
			}
			q := &Request{ID: "r", Host: "h", Method: "GET", URI: "/x", Path: "/x", Arrived: time.Now()}
			assert.Equal(t, c.vms[0].Serve(context.Background(), q).Code, tt.code)
			assert.Equal(t, c.vms[0].OpenRequests(), 0)
			c.mu.Lock()
			defer c.mu.Unlock()
			assert.Equal(t, c.records[0].Code, tt.code)
			assert.Equal(t, len(c.arrivals) == 0, tt.code == unit.CodeStopping)
		})
	}
}

// silence makes the endpoints of the last n shards silent.
func (c *cluster) silence(n int) {
	for _, s := range c.route.Shards[shards-n:] {
		for _, e := range c.view.Endpoints[s] {
			c.silent[e.ID] = true
		}
	}
}
