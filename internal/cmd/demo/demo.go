// Package demo implements the command that runs both example deployments in one process, on loopback addresses, and
// checks every answer.
package demo

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/bench"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

const (
	// entries is the number of entry VMs of each deployment.
	entries = 3
	// median and sigma are the parameters of the endpoints' service time.
	median = 3 * time.Millisecond
	sigma  = 0.4
	// readyTimeout is the maximum wait until the entry VMs are ready.
	readyTimeout = 10 * time.Second
)

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams stream.Streams
	// Duration is how long queries are sent to each deployment.
	Duration time.Duration
	// Verbose prints log lines to the standard error.
	Verbose bool
}

// New returns the command. Tests pass run in place of Run; nil means Run.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:        "demo",
		Usage:       "run both example deployments on loopback and check every answer",
		Description: "The exit code is 3 if a check fails.\n\nExamples:\n   basilspan demo\n   basilspan demo --duration 10s",
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name: "duration", Usage: "time for which queries are sent", Value: 3 * time.Second, Destination: &opts.Duration,
			},
			&cli.BoolFlag{Name: "verbose", Usage: "print log lines", Destination: &opts.Verbose},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// Run runs the deployments one after the other. If a check of the answers fails, the error ends with ExitNegative.
func Run(ctx context.Context, opts *Options) error {
	hlog.SetOutput(io.Discard)
	for _, name := range example.Names() {
		if err := runDeployment(ctx, opts, name); err != nil {
			return err
		}
	}
	opts.Streams.Printf("all answers were correct\n")
	return nil
}

// runDeployment starts one deployment, sends queries to it, prints the counts and checks them.
func runDeployment(ctx context.Context, opts *Options, name string) (err error) {
	b, err := bench.Start(ctx, bench.Settings{
		Deployment: name,
		EntryVMs:   entries,
		Fleet:      endpoint.FleetSettings{Median: median, Sigma: sigma, Seed: 1, Loopback: true},
		Log:        newLogger(opts),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, b.Close()) }()
	if err := b.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	rows := load.Run(ctx, load.Settings{
		EntryAddresses: b.CallerAddresses(),
		Flows:          flows(name),
		Duration:       opts.Duration,
		Run:            name,
	})
	opts.Streams.Printf("%s\n", name)
	if err := load.Print(opts.Streams.Out, rows); err != nil {
		return err
	}
	return checkResults(name, rows, b.Fleet.Stats())
}

// checkResults returns an error if a request that must run once ran twice, if answers broke an invariant, or if a flow
// got no whole answer.
func checkResults(name string, rows []load.Row, stats endpoint.Stats) error {
	if stats.RepeatedRuns > 0 {
		err := errors.Newf("%s: %d requests that must run only once ran twice", name, stats.RepeatedRuns)
		return stream.WithExitCode(err, stream.ExitNegative)
	}
	for _, r := range rows {
		if r.Invalid > 0 || r.Whole == 0 {
			err := errors.Newf("%s: search %s: %d invalid answers (expected 0), %d complete answers (expected some)",
				name, r.Flow.Search, r.Invalid, r.Whole)
			return stream.WithExitCode(err, stream.ExitNegative)
		}
	}
	return nil
}

// flows returns the flows of queries for a deployment.
func flows(name string) []load.Flow {
	flow := func(search unit.SearchName, rank unit.RankName, rate float64) load.Flow {
		return load.Flow{Search: search, Rank: rank, Rate: rate, Timeout: time.Second}
	}
	if name == example.AlWadi {
		return []load.Flow{
			flow("fitter-desk", "fitter", 20),
			flow("member-ledger", "member", 10),
			flow("order-track", "fitter", 10),
			flow("catalogue-admin", "upkeep", 5),
		}
	}
	return []load.Flow{
		flow("claim-desk", "claims", 20),
		flow("donor-portal", "donor", 10),
		flow("audit-archive", "archive", 5),
		flow("member-reports", "archive", 5),
	}
}

// newLogger returns a logger to the standard error, which discards all lines unless verbose.
func newLogger(opts *Options) *slog.Logger {
	if opts.Verbose {
		return slog.New(slog.NewTextHandler(opts.Streams.Err, nil))
	}
	return slog.New(slog.DiscardHandler)
}
