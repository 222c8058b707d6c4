package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestStopIsNotHeldByProbePort guards against a stop that a connection to a probe port holds beyond the grace time.
func TestStopIsNotHeldByProbePort(t *testing.T) {
	const grace = 2 * time.Second
	tests := []struct {
		name, sent string
	}{
		{"nothing was sent", ""},
		{"the start of a request was sent", "GET /rea"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			settings := f.gateway.settings
			settings.Ready, settings.Metrics, settings.Grace = freeAddress(t), freeAddress(t), grace
			g, err := New(settings, f.gateway.options)
			assert.NilError(t, err)
			assert.NilError(t, g.Start(context.Background()))
			for _, address := range []unit.Address{settings.Ready, settings.Metrics} {
				c, err := net.Dial("tcp", string(address))
				assert.NilError(t, err)
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, tt.sent)
				assert.NilError(t, err)
			}
			time.Sleep(20 * time.Millisecond)
			began := time.Now()
			assert.NilError(t, g.Close())
			took := time.Since(began)
			assert.Assert(t, took < grace, "the stop took %v", took)
		})
	}
}

// freeAddress returns an address that nothing listens at.
func freeAddress(t *testing.T) unit.Address {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, free.Close())
	return unit.Address(free.Addr().String())
}
