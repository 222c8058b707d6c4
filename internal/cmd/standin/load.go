package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/load"
)

// statsTimeout is the timeout for reading the endpoints' counts.
const statsTimeout = 5 * time.Second

// loadOptions are the arguments and dependencies of the load command.
type loadOptions struct {
	streams      stream.Streams
	entries      []string
	flows        []string
	duration     time.Duration
	run          string
	limit        int
	statsAddress string
	json         bool
}

// newLoad returns the command that sends queries to entry VMs.
func newLoad(streams stream.Streams) *cli.Command {
	opts := &loadOptions{streams: streams}
	return &cli.Command{
		Name: "load",
		// The value of --flow contains commas, so each flag has one value.
		DisableSliceFlagSeparator: true,

		Usage: "send queries at given rates and check every answer",
		Description: "Examples:\n   standin load --entry 127.0.0.1:8080 " +
			"--flow fitter-desk,fitter,50,500ms --flow order-track,member,5,1s,once",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Destination: &opts.entries},
			&cli.StringSliceFlag{
				Name: "flow", Usage: "SEARCH,RANK,RATE,TIMEOUT[,once]", Required: true, Destination: &opts.flows,
			},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Destination: &opts.duration},
			&cli.StringFlag{Name: "run", Usage: "prefix of the request ids", Value: "run", Destination: &opts.run},
			&cli.IntFlag{Name: "limit", Usage: "maximum number of queries in flight", Value: 2048, Destination: &opts.limit},
			&cli.StringFlag{
				Name: "endpoints", Usage: "control address of the endpoints, to read their counts",
				Destination: &opts.statsAddress,
			},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON", Destination: &opts.json},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runLoad(ctx, opts) },
	}
}

// runLoad sends the queries and prints the report. If answers broke an invariant, the error ends with ExitNegative.
func runLoad(ctx context.Context, opts *loadOptions) error {
	settings := load.Settings{Duration: opts.duration, Run: opts.run, MaxInFlight: opts.limit}
	for _, e := range opts.entries {
		settings.EntryAddresses = append(settings.EntryAddresses, unit.Address(e))
	}
	for _, text := range opts.flows {
		flow, err := parseFlow(text)
		if err != nil {
			return stream.WithExitCode(err, stream.ExitUsage)
		}
		settings.Flows = append(settings.Flows, flow)
	}
	report, err := load.Measure(ctx, settings, statsReader(opts.statsAddress))
	if err != nil {
		return err
	}
	printed := load.PrintReport
	if opts.json {
		printed = load.PrintJSON
	}
	if err := printed(opts.streams.Out, report); err != nil {
		return err
	}
	for _, r := range report.Rows {
		if r.Invalid > 0 {
			return stream.WithExitCode(errors.Newf("%d answers broke an invariant", r.Invalid), stream.ExitNegative)
		}
	}
	return nil
}

// statsReader returns a function that reads the endpoints' counts from their control port, or nil if address is empty.
func statsReader(address string) func() (endpoint.Stats, error) {
	if address == "" {
		return nil
	}
	client := &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: statsTimeout}
	return func() (stats endpoint.Stats, err error) {
		resp, err := client.Get("http://" + address + "/stats")
		if err != nil {
			return stats, errors.Wrap(err, "read the endpoints' counts; check --endpoints")
		}
		defer func() { _ = resp.Body.Close() }()
		err = json.NewDecoder(resp.Body).Decode(&stats)
		return stats, errors.Wrap(err, "decode the endpoints' counts")
	}
}

// parseFlow parses a value of --flow. A fifth field other than "once" is ignored.
func parseFlow(text string) (load.Flow, error) {
	fields := strings.Split(text, ",")
	if len(fields) < 4 || len(fields) > 5 {
		return load.Flow{}, errors.Newf("--flow %q: must be SEARCH,RANK,RATE,TIMEOUT[,once]", text)
	}
	rate, err := strconv.ParseFloat(fields[2], 64)
	if err != nil {
		return load.Flow{}, errors.Wrapf(err, "--flow %q: rate", text)
	}
	timeout, err := time.ParseDuration(fields[3])
	if err != nil {
		return load.Flow{}, errors.Wrapf(err, "--flow %q: timeout", text)
	}
	return load.Flow{
		Search:  unit.SearchName(fields[0]),
		Rank:    unit.RankName(fields[1]),
		Rate:    rate,
		Timeout: timeout,
		Once:    len(fields) == 5 && fields[4] == "once",
	}, nil
}
