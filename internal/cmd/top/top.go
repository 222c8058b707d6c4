// Package top implements the command that prints query rates and latencies of an entry VM periodically.
package top

import (
	"context"
	"fmt"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

type (
	// wireVars is the response of an entry VM to GET /debug/vars. Latency has an entry for each search and rank.
	wireVars struct {
		Counters map[string]int64       `json:"counters"`
		Latency  map[string]wireLatency `json:"latency"`
	}

	// wireLatency has the number of queries and the latency percentiles in microseconds.
	wireLatency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P99   int64 `json:"p99"`
		P999  int64 `json:"p999"`
	}
)

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams stream.Streams
	Client  *stream.Client
	// Period is the time between two prints.
	Period time.Duration
	// Count is the number of prints; 0 means no limit.
	Count int
	JSON  bool
	// Wait waits for d and reports whether to go on; it returns false when ctx ends.
	Wait func(ctx context.Context, d time.Duration) bool
}

// New returns the command. Tests pass run in place of Run; nil means Run.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Client: stream.NewClient(), Wait: wait}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:        "top",
		Usage:       "print query rates and latencies by search and rank, periodically",
		Description: "Examples:\n   basilspan top\n   basilspan top --period 5s --count 3 --json",
		Flags: []cli.Flag{
			opts.Client.AddressFlag(),
			&cli.DurationFlag{
				Name: "period", Usage: "time between two prints", Value: time.Second, Destination: &opts.Period,
			},
			&cli.IntFlag{Name: "count", Usage: "number of prints; 0 means no limit", Destination: &opts.Count},
			stream.JSONFlag(&opts.JSON),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := stream.Args(cmd, 0, 0, "no argument"); err != nil {
				return err
			}
			if opts.Period <= 0 || opts.Count < 0 {
				return stream.WithExitCode(errors.New("--period must be over 0, and --count 0 or more"), stream.ExitUsage)
			}
			return run(ctx, opts)
		},
	}
}

// Run prints rates over each period until the count is reached or ctx ends. The first print follows the second reading.
func Run(ctx context.Context, opts *Options) error {
	var before wireVars
	for n := 0; ; n++ {
		var now wireVars
		if err := opts.Client.Get(ctx, "/debug/vars", &now); err != nil {
			return err
		}
		if n > 0 {
			if err := opts.print(before, now); err != nil {
				return err
			}
		}
		before = now
		if opts.Count > 0 && n >= opts.Count || !opts.Wait(ctx, opts.Period) {
			return nil
		}
	}
}

// print prints a table with the query rates between two readings and the latencies of the second one, or all of the
// second reading as JSON.
func (o *Options) print(before, now wireVars) error {
	if o.JSON {
		return o.Streams.PrintJSON(now)
	}
	if o.Streams.Terminal {
		// Move the cursor to the top left corner and clear the screen.
		o.Streams.Printf("\x1b[H\x1b[2J")
	}
	t := tabwriter.NewWriter(o.Streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "search.rank\tqueries/s\tp50 ms\tp99 ms\tp99.9 ms")
	names := make([]string, 0, len(now.Latency))
	for name := range now.Latency {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l := now.Latency[name]
		rate := float64(l.Count-before.Latency[name].Count) / o.Period.Seconds()
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n",
			name, rate, milliseconds(l.P50), milliseconds(l.P99), milliseconds(l.P999))
	}
	return errors.Wrap(t.Flush(), "print the table")
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
