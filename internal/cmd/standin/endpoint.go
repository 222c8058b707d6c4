package standin

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/control"
	"basilspan/internal/standin/endpoint"
)

// endpointOptions are the arguments and dependencies of the endpoint command.
type endpointOptions struct {
	streams  stream.Streams
	folder   string
	overlay  string
	control  string
	settings endpoint.FleetSettings
}

// newEndpoint returns the command that simulates the endpoints of a configuration.
func newEndpoint(streams stream.Streams) *cli.Command {
	opts := &endpointOptions{streams: streams}
	return &cli.Command{
		Name:  "endpoint",
		Usage: "run every endpoint of a configuration folder",
		Description: "With --overlay the endpoints listen on free ports of 127.0.0.1, and a configuration file with their " +
			"addresses is written.\n\nExamples:\n   standin endpoint --folder conf --overlay 90-loopback.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Required: true, Destination: &opts.folder},
			&cli.StringFlag{Name: "overlay", Usage: "name of the file to write to the folder", Destination: &opts.overlay},
			&cli.StringFlag{
				Name: "control", Usage: "listen address for setting faults and reading counts", Destination: &opts.control,
			},
			&cli.DurationFlag{Name: "median", Value: 5 * time.Millisecond, Destination: &opts.settings.Median},
			&cli.FloatFlag{Name: "sigma", Value: 0.4, Destination: &opts.settings.Sigma},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &opts.settings.Seed},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runEndpoint(ctx, opts) },
	}
}

// runEndpoint starts all endpoints of the folder, writes the overlay file and opens the control port if their flags are
// set, waits until ctx ends, and then prints the counts of the endpoints.
func runEndpoint(ctx context.Context, opts *endpointOptions) error {
	files, err := folder.Read(opts.folder)
	if err != nil {
		return err
	}
	built, problems := folder.Build(files)
	if len(problems) > 0 {
		return stream.WithExitCode(
			errors.Newf("the configuration folder is not valid; its first problem: %s", problems[0]), stream.ExitUsage)
	}
	opts.settings.Loopback = opts.overlay != ""
	fleet, err := endpoint.StartFleet(built, opts.settings)
	if err != nil {
		return err
	}
	if opts.overlay != "" {
		file, err := folder.Overlay(opts.overlay, built, fleet.Addresses())
		if err != nil {
			return errors.CombineErrors(err, fleet.Close())
		}
		if err := writeFile(filepath.Join(opts.folder, file.Name), file.Content); err != nil {
			return errors.CombineErrors(err, fleet.Close())
		}
	}
	port, err := startControl(opts.control, control.Targets{
		SetFaults: fleet.SetFaults,
		Stats:     fleet.StatsOf,
	})
	if err != nil {
		return errors.CombineErrors(err, fleet.Close())
	}
	opts.streams.Printf("endpoints %d\n", len(fleet.Addresses()))
	<-ctx.Done()
	if err := port.Close(); err != nil {
		return err
	}
	if err := opts.streams.PrintJSON(fleet.Stats()); err != nil {
		return err
	}
	return fleet.Close()
}

// startControl starts a control server that listens at the given address. If it is empty, the server doesn't listen,
// but can be closed all the same.
func startControl(listen string, targets control.Targets) (*control.Server, error) {
	s := control.New(targets)
	if listen == "" {
		return s, nil
	}
	return s, s.Start(unit.Address(listen))
}

// writeFile replaces the overlay file atomically, so that no reader sees a part of it.
func writeFile(path string, content []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, 0o600); err != nil {
		return errors.Wrap(err, "write the addresses")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the addresses")
}
