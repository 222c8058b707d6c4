package load

import (
	"context"
	"sort"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

// Report sums up one run.
type Report struct {
	Rows     []Row
	Ranks    []Rank
	Duration time.Duration
	// Endpoints is what the endpoints counted during the run; nil when they were not asked.
	Endpoints *endpoint.Stats
}

// Rank sums up the flows of one rank.
type Rank struct {
	Name unit.RankName
	Sent int64
	// Good are the whole and timely answers, and Goodput is how many there were each second.
	Good    int64
	Goodput float64
}

// Measure runs the flows and reports. stats gives the endpoints' counts so far and may be nil.
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

// byRank sums up the rows by rank, in the order of the names.
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
