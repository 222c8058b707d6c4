package dispatch

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/replica"
)

// TestPeerDepartures guards against sending to an endpoint that has told another VM that it is leaving.
func TestPeerDepartures(t *testing.T) {
	tests := []struct {
		name string
		// leaving is the endpoint that says that it is leaving.
		leaving unit.EndpointID
	}{
		{"no endpoint", ""},
		{"an endpoint of a shard that this VM serves", "s00-0"},
		{"an endpoint of a shard that another VM serves", "s23-0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster()
			c.leaving = tt.leaving
			for _, d := range c.vms {
				d.Views.Publish(c.view)
			}
			d := c.vms[0]
			serve := func() {
				q := &Request{
					ID: "r", Host: "h", Method: "GET", URI: "/x", Path: "/x", Arrived: time.Now(), Remaining: 2 * time.Second,
				}
				assert.Equal(t, d.Serve(context.Background(), q).Code, unit.CodeWhole)
			}
			known := func() bool { return d.Metrics.Get("endpoint.leaving") > 0 }
			for range 50 {
				serve()
			}
			assert.Equal(t, known(), tt.leaving != "")
			if tt.leaving == "" {
				return
			}
			service := unit.ServiceName(tt.leaving[:3])
			d.mu.Lock()
			defer d.mu.Unlock()
			for range 20 {
				i := d.endpointTracker.Choose(time.Now(), "all", c.view.Endpoints[service], nil, false)
				assert.Assert(t, c.view.Endpoints[service][i].ID != tt.leaving)
			}
		})
	}
}

// TestWireDeparture checks that news of a leaving endpoint survives its encoding.
func TestWireDeparture(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []replica.Departure
	}{
		{"an older release", `{"records":"","seals":[],"sent":[]}`, nil},
		{"all fields", `{"leaving":[{"id":"i-1","born":1767268800000,"era":2,"revision":7,"sequence":3}]}`, []replica.Departure{
			{
				ID: "i-1", Born: time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC),
				Registered: unit.Position{Era: 2, Revision: 7}, Sequence: 3,
			},
		}},
		{"unknown start", `{"leaving":[{"id":"i-1","revision":7}]}`, []replica.Departure{
			{ID: "i-1", Registered: unit.Position{Revision: 7}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var result wirePortionResult
			assert.NilError(t, json.Unmarshal([]byte(tt.text), &result))
			var got []replica.Departure
			for _, w := range result.Leaving {
				got = append(got, w.departure())
				assert.Equal(t, newWireDeparture(w.departure()), w)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
