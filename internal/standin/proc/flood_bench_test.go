package proc

import (
	"context"
	"os"
	"testing"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

const (
	// floodMedian is the endpoints' median service time. It is long, so that the processor is not the limit.
	floodMedian = 20 * time.Millisecond
	// floodCapacity is the number of queries per second that 40 shards of one endpoint with two slots can serve.
	floodCapacity = 92.0
	// floodFactor is the rate of a flood as a multiple of floodCapacity.
	floodFactor = 5
	// floodTime is the duration of a phase.
	floodTime = 12 * time.Second
	// baseProgramsEnv is the environment variable with the folder of an earlier version's programs.
	baseProgramsEnv = "BASILSPAN_BASE"
)

// BenchmarkFlood compares the routing modes that limit concurrent calls, with seven entry VMs and 40 shards of one
// endpoint each. Its phases are: an urgent rank alone, a flood of the least urgent rank, and a flood of the most urgent
// rank. If BASILSPAN_BASE names a folder with the programs of an earlier version, that version is measured first.
func BenchmarkFlood(b *testing.B) {
	ways := []struct {
		name  string
		route string
		extra string
		base  bool
	}{
		{"base", "", "", true},
		{"shared", "shared", "1", false},
		{"owner-2", "owner", "0", false},
		{"owner-3", "owner", "1", false},
		{"owner-4", "owner", "2", false},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			b.Setenv("BASILSPAN_ROUTE", way.route)
			b.Setenv("BASILSPAN_EXTRA", way.extra)
			settings := Settings{Files: plainConfig(40, 1, false), EntryVMs: 7, MedianServiceTime: floodMedian}
			if settings.ProgramDir = os.Getenv(baseProgramsEnv); way.base && settings.ProgramDir == "" {
				b.Skip("BASILSPAN_BASE does not name the programs of an earlier version")
			}
			if !way.base {
				settings.ProgramDir = ""
			}
			for range b.N {
				measureFlood(b, settings)
			}
		})
	}
}

// measureFlood runs the phases on a new deployment and logs the results of each.
func measureFlood(b *testing.B, settings Settings) {
	d := Start(b, settings)
	flow := func(rank string, rate float64) load.Flow {
		return load.Flow{Search: "plain", Rank: unit.RankName(rank), Rate: rate, Timeout: time.Second}
	}
	flood := floodCapacity * floodFactor
	phases := []struct {
		name  string
		flows []load.Flow
	}{
		{"warm", []load.Flow{flow("desk", 20)}},
		{"alone", []load.Flow{flow("desk", 25)}},
		{"least urgent flood", []load.Flow{flow("desk", 25), flow("member", 10), flow("upkeep", flood)}},
		{"most urgent flood", []load.Flow{flow("desk", flood), flow("member", 40), flow("upkeep", 40)}},
	}
	for i, phase := range phases {
		duration := floodTime
		if i == 0 {
			duration = 2 * time.Second
		}
		before, cpu := d.Stats(""), entryVMsCPU(d)
		rows := load.Run(context.Background(), load.Settings{
			EntryAddresses: d.CallerAddresses(), Flows: phase.flows, Duration: duration, Run: phase.name[:4],
		})
		used := entryVMsCPU(d) - cpu
		if i == 0 {
			continue
		}
		reportFlood(b, phase.name, rows, before, d.Stats(""), used, duration)
	}
}

// entryVMsCPU returns the total processor time of all entry VMs.
func entryVMsCPU(d *Deployment) time.Duration {
	var total time.Duration
	for _, n := range d.Nodes {
		total += n.Usage().CPU
	}
	return total
}

// reportFlood logs the results of a phase by rank, and what the endpoints and entry VMs did during it.
func reportFlood(
	b *testing.B, phase string, rows []load.Row, before, after endpoint.Stats, used, duration time.Duration,
) {
	for _, r := range rows {
		b.Logf("%-18s %-6s sent %5d whole %5d (%.0f/s) partial %d not-run %d unknown %d late %d broken %d  p50 %s p99 %s p99.9 %s",
			phase, r.Flow.Rank, r.Sent, r.Whole, float64(r.Whole)/duration.Seconds(), r.Partial, r.NotRun, r.Unknown,
			r.Late, r.Invalid, r.Latency.Quantile(0.5), r.Latency.Quantile(0.99), r.Latency.Quantile(0.999))
	}
	b.Logf("%-18s endpoints: runs %d refused %d wasted %d late %d; entries' CPU %.2f cores", phase,
		after.Runs-before.Runs, after.Refused-before.Refused, after.Wasted-before.Wasted, after.GivenUp-before.GivenUp,
		used.Seconds()/duration.Seconds())
}
