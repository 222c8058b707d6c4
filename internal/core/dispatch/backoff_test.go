package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestDividedBackoff guards against excluding a VM from portions because endpoints turn its requests away.
func TestDividedBackoff(t *testing.T) {
	tests := []struct {
		name string
		// away are the VMs whose requests all endpoints turn away.
		away []int
		code unit.Code
		// unsent is how many portions of three requests come back unsent.
		unsent int64
	}{
		{"no VM", nil, unit.CodeWhole, 0},
		{"the VMs that serve the other half", []int{1, 3}, unit.CodeWhole, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster()
			for i, d := range c.vms {
				d.Views.Publish(c.view)
				for _, away := range tt.away {
					for _, endpoints := range c.view.Endpoints {
						for _, e := range endpoints {
							if i == away {
								d.endpointTracker.RecordBackoff(time.Now(), e, time.Minute)
							}
						}
					}
				}
			}
			for range 3 {
				q := &Request{
					ID: "r", Host: "h", Method: "GET", URI: "/x", Path: "/x", Arrived: time.Now(), Remaining: 2 * time.Second,
				}
				assert.Equal(t, c.vms[0].Serve(context.Background(), q).Code, tt.code)
			}
			assert.Equal(t, c.vms[0].Metrics.Get("portion.unsent"), tt.unsent)
		})
	}
}
