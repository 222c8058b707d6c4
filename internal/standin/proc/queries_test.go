package proc

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

func TestMain(m *testing.M) {
	code := m.Run()
	Cleanup()
	os.Exit(code)
}

// TestQueriesThroughProcesses sends queries through separate processes of both example deployments. All must be
// answered whole, and the entry VMs must stop with exit code 0.
func TestQueriesThroughProcesses(t *testing.T) {
	tests := []struct {
		name   string
		search unit.SearchName
		rank   unit.RankName
	}{
		{example.AlWadi, "fitter-desk", "fitter"},
		{example.Lanka, "claim-desk", "claims"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Example: tt.name, EntryVMs: 3})
			rows := load.Run(context.Background(), load.Settings{
				EntryAddresses: d.CallerAddresses(),
				Flows:          []load.Flow{{Search: tt.search, Rank: tt.rank, Rate: 20, Timeout: 10 * time.Second}},
				Duration:       2 * time.Second,
				Run:            "path",
			})
			assert.Equal(t, rows[0].Invalid, int64(0))
			assert.Equal(t, rows[0].Whole, rows[0].Sent)
			assert.Equal(t, rows[0].Sent, int64(40))
			for _, n := range d.Nodes {
				n.Terminate()
				assert.Equal(t, n.Wait(), 0)
			}
		})
	}
}
