package fleet

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
)

// TestFollowerLeavesOutdatedSeed guards against a VM that goes on asking a seed which answers but is behind the VM.
func TestFollowerLeavesOutdatedSeed(t *testing.T) {
	after := unit.Position{Era: 2, Revision: 5}
	ahead := unit.Position{Era: 2, Revision: 6}
	tests := []struct {
		name   string
		behind unit.Position
		age    time.Duration
	}{
		{"earlier revision", unit.Position{Era: 2, Revision: 4}, 0},
		{"earlier era", unit.Position{Era: 1, Revision: 50}, 0},
		{"earlier era, no changes", unit.Position{Era: 1, Revision: 5}, 0},
		{"changes of a later era", unit.Position{Era: 3, Revision: 9}, 0},
		{"cut off from the registry", after, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seeds := map[unit.Address]*Fleet{}
			for address, at := range map[unit.Address]unit.Position{"behind": tt.behind, "ahead": ahead} {
				var age time.Duration
				if address == "behind" {
					age = tt.age
				}
				seed := &Fleet{Now: time.Now}
				seed.AwaitChanges = func(context.Context, registry.Prefix, registry.Cursor) registry.Update {
					return registry.Update{Listing: registry.Listing{Position: at}, ConfirmedAt: time.Now().Add(-age)}
				}
				seed.leaving, seed.leave = context.WithCancel(t.Context())
				seeds[address] = seed
			}
			var asked []unit.Address
			f := &Fleet{
				Now: time.Now, Log: slog.New(slog.DiscardHandler),
				Call: func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error {
					asked = append(asked, to)
					return callDirectly(ctx, seeds[to], method, params, result, false)
				},
			}
			f.SetSeeds([]unit.Address{"behind", "ahead"})
			for range 2 {
				_, _ = f.AwaitSeedChanges(t.Context(), "p/", registry.Cursor{Position: after}, time.Second)
			}
			assert.DeepEqual(t, asked, []unit.Address{"behind", "ahead"})
		})
	}
}
