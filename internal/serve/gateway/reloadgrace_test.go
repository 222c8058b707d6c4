package gateway

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/shard"
)

// TestStopAfterGraceReload guards against a stop that closes the port by the grace time from before a reload.
func TestStopAfterGraceReload(t *testing.T) {
	tests := []struct {
		name          string
		before, after time.Duration
	}{
		{"unchanged", 4 * time.Second, 4 * time.Second},
		{"longer", time.Second, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.grace = tt.before
			f.start()
			f.setMode(shard.ModeHang, "a0", "a1")
			settings := f.gateway.settings
			settings.Grace = tt.after
			f.gateway.Reload(settings)
			f.gateway.BeginDrain()
			c := f.dial()
			defer func() { _ = c.Close() }()
			_, err := io.WriteString(c, "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n"+
				"Basilspan-Deadline-Ms: 3000\r\n\r\n")
			assert.NilError(t, err)
			f.await(func() bool { return f.runs("r1") >= 1 })
			f.closed = true
			assert.NilError(t, f.gateway.Close())
			assert.Assert(t, !strings.Contains(f.log.String(), "request given up at the stop"), f.log.String())
		})
	}
}
