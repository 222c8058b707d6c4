package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/shard"
)

// TestTurnAway guards against requests to an endpoint within the Retry-After of its 503.
func TestTurnAway(t *testing.T) {
	tests := []struct {
		name string
		away []string
		path string
		want int
		// refused reports whether requests that follow are refused until the endpoints accept some again.
		refused bool
	}{
		{"one of two endpoints", []string{"a0"}, "/one/x", 200, false},
		{"all endpoints", []string{"a0", "a1"}, "/one/x", 503, true},
		{"all endpoints of a request that may run once", []string{"a0", "a1"}, "/once/x", 503, true},
		{"one shard", []string{"a0", "a1"}, "/all/x", 200, false},
		{"too few shards left", []string{"a0", "a1", "b0", "b1"}, "/all/x", 503, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			all := slices.Collect(maps.Keys(f.endpoints))
			// The other endpoints reject requests, so that each of these gets one.
			f.setMode(shard.ModeReject, all...)
			for _, id := range tt.away {
				f.endpoints[id].TurnAway("30")
			}
			f.await(func() bool {
				f.request("GET", tt.path, "w", "")
				return strings.Count(f.log.String(), `"msg":"endpoint turned requests away"`) == len(tt.away)
			})
			f.setMode(shard.ModeServe, slices.DeleteFunc(all, func(id string) bool { return slices.Contains(tt.away, id) })...)
			for i := range 10 {
				f.request("GET", tt.path, fmt.Sprint("r", i), "")
			}
			before := f.arrivals()
			r := f.request("GET", tt.path, "last", "")
			assert.Equal(t, r.status, tt.want)
			if tt.refused {
				assert.Equal(t, f.arrivals(), before)
				seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, seconds > 25 && seconds < 40, "Retry-After %v", seconds)
			}
			for _, id := range tt.away {
				n := len(f.endpoints[id].Arrivals())
				assert.Equal(t, n, 1, "requests that reached %s", id)
			}
		})
	}
}

// TestTurnAwayEnds checks that requests go to an endpoint again when its Retry-After has passed.
func TestTurnAwayEnds(t *testing.T) {
	tests := []struct{ name, value string }{
		{"a short time", "0.2"},
		{"a malformed value", "soon"},
		{"a negative value", "-5"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			f.endpoints["a0"].TurnAway(tt.value)
			f.endpoints["a1"].TurnAway(tt.value)
			assert.Equal(t, f.request("GET", "/one/x", "r1", "").status, 503)
			f.setMode(shard.ModeServe, "a0", "a1")
			f.await(func() bool { return f.request("GET", "/one/x", "r2", "").status == 200 })
		})
	}
}

// arrivals returns how many requests have reached all endpoints together.
func (f *fixture) arrivals() int {
	n := 0
	for _, e := range f.endpoints {
		n += len(e.Arrivals())
	}
	return n
}
