package load

import (
	"context"
	"sort"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

// Report holds the results of one run.
type Report struct {
	Rows     []Row
	Ranks    []Rank
	Duration time.Duration
	// Endpoints holds what the endpoints counted during the run; nil if their counters were not read.
	Endpoints *endpoint.Stats
}

// Rank sums up the flows of one rank.
type Rank struct {
	Name unit.RankName
	Sent int64
	// Good counts whole answers within the timeout; Goodput is their rate per second.
	Good    int64
	Goodput float64
}

// Measure runs the flows and returns a report. It calls stats before and after the run for the endpoints' counters so
// far; a nil stats leaves them out of the report.
func Measure(ctx context.Context, settings Settings, stats func() (endpoint.Stats, error)) (Report, error) {
	if stats == nil {
		rows := Run(ctx, settings)
		return Report{Rows: rows, Ranks: byRank(rows, settings.Duration), Duration: settings.Duration}, nil
	}
	before, err := stats()
	if err != nil {
		return Report{}, err
	}
	report, _ := Measure(ctx, settings, nil)
	after, err := stats()
	if err != nil {
		return report, err
	}
	difference := endpoint.Stats{
		Runs:         after.Runs - before.Runs,
		Refused:      after.Refused - before.Refused,
		Wasted:       after.Wasted - before.Wasted,
		RepeatedRuns: after.RepeatedRuns - before.RepeatedRuns,
		GivenUp:      after.GivenUp - before.GivenUp,
		LastCallAt:   after.LastCallAt,
	}
	report.Endpoints = &difference
	return report, nil
}

// byRank sums up the rows by rank, sorted by name. Sent includes queries that were due but not sent.
func byRank(rows []Row, duration time.Duration) []Rank {
	sums := make(map[unit.RankName]*Rank)
	for _, r := range rows {
		sum := sums[r.Flow.Rank]
		if sum == nil {
			sum = &Rank{Name: r.Flow.Rank}
			sums[r.Flow.Rank] = sum
		}
		sum.Sent += r.Sent + r.Unsent
		sum.Good += r.Whole
	}
	all := make([]Rank, 0, len(sums))
	for _, sum := range sums {
		if duration > 0 {
			sum.Goodput = float64(sum.Good) / duration.Seconds()
		}
		all = append(all, *sum)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
