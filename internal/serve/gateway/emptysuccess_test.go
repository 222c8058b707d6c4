package gateway

import (
	"bufio"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/shard"
)

// TestNoSuccessWithoutParts guards against a success without any part on a route whose table has no min_success_share.
func TestNoSuccessWithoutParts(t *testing.T) {
	tests := []struct {
		name  string
		grace time.Duration
		stop  bool
		share string
	}{
		{"required share, until the timeout", shortGrace, false, `,"min_success_share":0.6`},
		{"no required share, until the timeout", shortGrace, false, ""},
		{"no required share, planned stop", time.Second, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.grace = tt.grace
			f.start()
			f.version++
			f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"all","host":"h","prefix":"/all/",
				"route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":800,"priority":0,"gather":["a","b","c"],
				"max_attempts":2,"top_k":4%s}],"services":[],"limits":{}}`, f.version, tt.share))
			f.await(func() bool { return f.gateway.views.Load().Table.Version == unit.TableVersion(f.version) })
			f.setMode(shard.ModeHang, "a0", "a1", "b0", "b1", "c0", "c1")
			c := f.dial()
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, "GET /all/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n"+
				"Basilspan-Deadline-Ms: 1500\r\n\r\n")
			assert.NilError(t, err)
			f.await(func() bool { return f.runs("r1") >= 3 })
			if tt.stop {
				f.closed = true
				assert.NilError(t, f.gateway.Close())
			}
			got := f.read(bufio.NewReader(c), "GET")
			assert.Assert(t, got.status != 200, "stamps %q, missing %q", got.header.Get("Basilspan-Part-Stamps"),
				got.header.Get("Basilspan-Missing-Parts"))
		})
	}
}
