package proc

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// TestEachRankIsServedDuringFlood floods with one rank well beyond what the endpoints can take. The verdict is on counts:
// the most urgent rank is answered whole each time beside a flood of the least urgent; in a flood of the most urgent
// each other rank still gets whole answers, and what is refused is refused as "not run".
func TestEachRankIsServedDuringFlood(t *testing.T) {
	const (
		flooded = 400.0
		calm    = 10.0
		// busy is beyond the most urgent rank's floor, so that its rank has to serve it.
		busy = 30.0
	)
	tests := []struct {
		name  string
		rates map[unit.RankName]float64
		// all are the ranks of which every query is answered whole.
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
				assert.Assert(t, row.Whole > 0, "%s got nothing", row.Flow.Rank)
				for _, name := range tt.all {
					if row.Flow.Rank == name {
						assert.Equal(t, row.Whole, row.Sent)
					}
				}
			}
		})
	}
}
