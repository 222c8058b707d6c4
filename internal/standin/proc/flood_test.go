package proc

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// TestEachRankIsServedDuringFlood sends far more queries of one rank than the endpoints can serve. In a flood of the
// least urgent rank, all queries of the others must be answered whole. In a flood of the most urgent rank, each other
// rank must still get some whole answers. The check is on counts, not on latencies.
func TestEachRankIsServedDuringFlood(t *testing.T) {
	const (
		flooded = 400.0
		calm    = 10.0
		// busy exceeds the floor of the most urgent rank, so some of its queries are served only because of their
		// urgency.
		busy = 30.0
	)
	tests := []struct {
		name  string
		rates map[unit.RankName]float64
		// all are the ranks whose queries must all be answered whole.
		all []unit.RankName
	}{
		{
			"the least urgent",
			map[unit.RankName]float64{"desk": busy, "member": calm, "upkeep": flooded},
			[]unit.RankName{"desk", "member"},
		},
		{"the most urgent", map[unit.RankName]float64{"desk": flooded, "member": calm, "upkeep": calm}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Files: plainConfig(4, 1, false), EntryVMs: 3, MedianServiceTime: 30 * time.Millisecond})
			waitForMembers(t, d, 3)
			var flows []load.Flow
			for _, name := range []unit.RankName{"desk", "member", "upkeep"} {
				flows = append(flows, load.Flow{
					Search: "plain", Rank: name, Rate: tt.rates[name], Timeout: 5 * time.Second,
				})
			}
			rows := load.Run(context.Background(), load.Settings{
				EntryAddresses: d.CallerAddresses(), Flows: flows, Duration: 4 * time.Second, Run: "flood",
			})
			for _, row := range rows {
				t.Logf("%s: sent %d, whole %d, partial %d, not run %d, unknown %d", row.Flow.Rank, row.Sent, row.Whole,
					row.Partial, row.NotRun, row.Unknown)
				assert.Equal(t, row.Invalid, int64(0))
				assert.Assert(t, row.Whole > 0, "rank %s got no whole answer", row.Flow.Rank)
				for _, name := range tt.all {
					if row.Flow.Rank == name {
						assert.Equal(t, row.Whole, row.Sent)
					}
				}
			}
		})
	}
}
