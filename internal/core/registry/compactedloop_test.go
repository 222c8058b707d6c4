package registry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestCompactedReadsAreSpaced guards against a follower that reads without a pause while each read is answered with 410.
func TestCompactedReadsAreSpaced(t *testing.T) {
	tests := []struct {
		name    string
		listErr error
	}{
		{"each listing", ErrCompacted},
		{"each watch", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reads atomic.Int64
			f := &Follower{
				Prefix: "p/", Now: time.Now, Rand: func() float64 { return 0.5 }, Log: slog.New(slog.DiscardHandler),
				List: func(context.Context, Prefix) (Listing, error) {
					reads.Add(1)
					return Listing{Position: unit.Position{Era: 1, Revision: 5}}, tt.listErr
				},
				Watch: func(context.Context, Prefix, unit.Revision, time.Duration) (Listing, error) {
					reads.Add(1)
					return Listing{}, ErrCompacted
				},
				PeerListing: func(context.Context, Prefix, unit.Position) (Listing, error) { return Listing{}, ErrCompacted },
				Role:        func() Role { return RoleStandalone },
				Post:        func(context.Context, any) error { return nil },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			f.run(ctx)
			assert.Assert(t, reads.Load() <= 20, "%d reads in 0.3 s", reads.Load())
		})
	}
}
