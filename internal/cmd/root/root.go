// Package root is the entry of the basilspan program: it puts the commands together and gives the exit code.
package root

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/demo"
	"basilspan/internal/cmd/query"
	"basilspan/internal/cmd/replay"
	"basilspan/internal/cmd/serve"
	"basilspan/internal/cmd/stream"
	"basilspan/internal/cmd/version"
)

// Main runs the program with its arguments, the program's name first.
func Main(ctx context.Context, streams stream.Streams, args []string) stream.ExitCode {
	err := New(streams).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "basilspan: %v\n", err)
	}
	return stream.CodeOf(err)
}

// New makes the root command.
func New(streams stream.Streams) *cli.Command {
	return &cli.Command{
		Name:                  "basilspan",
		Usage:                 "a query tier over many shards",
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return stream.WithExit(err, stream.ExitUsage)
		},
		Commands: []*cli.Command{
			serve.New(streams, nil),
			query.New(streams, nil),
			demo.New(streams, nil),
			replay.New(streams, nil),
			version.New(streams),
		},
	}
}
