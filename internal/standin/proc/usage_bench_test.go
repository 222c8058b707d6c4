package proc

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// BenchmarkIdleEntryVM measures the processor time and memory of an entry VM without queries. Run it with -benchtime
// 1x.
func BenchmarkIdleEntryVM(b *testing.B) {
	const length = 10 * time.Second
	d := Start(b, Settings{Example: example.AlWadi, EntryVMs: 3})
	time.Sleep(time.Second)
	for range b.N {
		before := d.Nodes[0].Usage()
		time.Sleep(length)
		after := d.Nodes[0].Usage()
		b.ReportMetric(100*(after.CPU-before.CPU).Seconds()/length.Seconds(), "%core")
		b.ReportMetric(float64(after.Resident)/(1<<20), "MiB-resident")
	}
}

// BenchmarkEntryCPU measures the processor time that an entry VM spends on a query, for queries to different numbers of
// shards. Run it with -benchtime 1x.
func BenchmarkEntryCPU(b *testing.B) {
	tests := []struct {
		search unit.SearchName
		rank   unit.RankName
		leaves int
		rate   float64
	}{
		{"catalogue-admin", "upkeep", 4, 200},
		{"order-track", "fitter", 5, 200},
		{"fitter-desk", "fitter", 40, 60},
		{"member-ledger", "member", 60, 40},
	}
	const length = 5 * time.Second
	d := Start(b, Settings{Example: example.AlWadi, EntryVMs: 1, MedianServiceTime: 2 * time.Millisecond})
	for _, tt := range tests {
		b.Run(strconv.Itoa(tt.leaves)+" leaves", func(b *testing.B) {
			run := func(name string, length time.Duration) load.Row {
				return load.Run(context.Background(), load.Settings{
					EntryAddresses: d.CallerAddresses(),
					Flows:          []load.Flow{{Search: tt.search, Rank: tt.rank, Rate: tt.rate, Timeout: 5 * time.Second}},
					Duration:       length,
					Run:            name + strconv.Itoa(tt.leaves) + "-" + strconv.Itoa(b.N),
				})[0]
			}
			run("warm", time.Second)
			for range b.N {
				before := d.Nodes[0].Usage()
				row := run("load", length)
				after := d.Nodes[0].Usage()
				assert.Assert(b, row.Sent > 0)
				used := float64((after.CPU - before.CPU).Microseconds())
				b.ReportMetric(used/float64(row.Sent), "cpu-us/query")
				b.ReportMetric(used/float64(max(1, row.Extra.Attempts)), "cpu-us/leaf-call")
				b.ReportMetric(100*float64(row.Whole)/float64(row.Sent), "%whole")
				b.ReportMetric(float64(after.Resident)/(1<<20), "MiB-resident")
			}
		})
	}
}
