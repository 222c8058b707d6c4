// Package top is the command that prints, again and again, what an entry VM does for each search and rank.
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
	// wireVars is what an entry VM answers to GET /debug/vars.
	wireVars struct {
		Counters map[string]int64       `json:"counters"`
		Latency  map[string]wireLatency `json:"latency"`
	}

	// wireLatency is in microseconds.
	wireLatency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P99   int64 `json:"p99"`
		P999  int64 `json:"p999"`
	}
)

// Options are what the command works with.
type Options struct {
	Streams stream.Streams
	Client  *stream.Client
	Period  time.Duration
	Count   int
	JSON    bool
	// Wait waits for the next turn; it says false when there is none.
	Wait func(ctx context.Context, d time.Duration) bool
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Client: stream.NewClient(), Wait: wait}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:        "top",
		Usage:       "print queries a second and latencies by search and rank, again and again",
		Description: "Examples:\n   basilspan top\n   basilspan top --period 5s --count 3 --json",
		Flags: []cli.Flag{
			opts.Client.AddressFlag(),
			&cli.DurationFlag{Name: "period", Usage: "time between two prints", Value: time.Second, Destination: &opts.Period},
			&cli.IntFlag{Name: "count", Usage: "number of prints; 0 goes on", Destination: &opts.Count},
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

// Run prints until the count is reached or ctx ends.
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

func (o *Options) print(before, now wireVars) error {
	if o.JSON {
		return o.Streams.PrintJSON(now)
	}
	if o.Streams.Terminal {
		// Clears the screen.
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
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", name, rate, milliseconds(l.P50), milliseconds(l.P99), milliseconds(l.P999))
	}
	return errors.Wrap(t.Flush(), "print the table")
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// wait waits for d; it says false when ctx ends first.
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
