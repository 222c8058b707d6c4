package standin

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/load"
)

// loadOptions are what the load command works with.
type loadOptions struct {
	streams  stream.Streams
	entries  []string
	flows    []string
	duration time.Duration
	run      string
}

func newLoad(streams stream.Streams) *cli.Command {
	opts := &loadOptions{streams: streams}
	return &cli.Command{
		Name:  "load",
		Usage: "send queries at set rates and check every answer",
		Description: "Examples:\n   standin load --entry 127.0.0.1:8080 " +
			"--flow fitter-desk,fitter,50,500ms --flow order-track,member,5,1s,once",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Destination: &opts.entries},
			&cli.StringSliceFlag{
				Name: "flow", Usage: "SEARCH,RANK,RATE,TIMEOUT[,once]", Required: true, Destination: &opts.flows,
			},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Destination: &opts.duration},
			&cli.StringFlag{Name: "run", Usage: "prefix of the request ids", Value: "run", Destination: &opts.run},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runLoad(ctx, opts) },
	}
}

func runLoad(ctx context.Context, opts *loadOptions) error {
	settings := load.Settings{Duration: opts.duration, Run: opts.run}
	for _, e := range opts.entries {
		settings.Entries = append(settings.Entries, unit.Address(e))
	}
	for _, text := range opts.flows {
		flow, err := parseFlow(text)
		if err != nil {
			return stream.WithExit(err, stream.ExitUsage)
		}
		settings.Flows = append(settings.Flows, flow)
	}
	rows := load.Run(ctx, settings)
	if err := load.Print(opts.streams.Out, rows); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Broken > 0 {
			return stream.WithExit(errors.Newf("%d answers broke an invariant", r.Broken), stream.ExitNegative)
		}
	}
	return nil
}

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
