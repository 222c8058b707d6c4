// Package root assembles the commands of the basilspan program, runs it and returns its exit code.
package root

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/config"
	"basilspan/internal/cmd/demo"
	"basilspan/internal/cmd/drain"
	"basilspan/internal/cmd/explain"
	"basilspan/internal/cmd/gateway"
	"basilspan/internal/cmd/query"
	"basilspan/internal/cmd/replay"
	"basilspan/internal/cmd/serve"
	"basilspan/internal/cmd/status"
	"basilspan/internal/cmd/stream"
	"basilspan/internal/cmd/top"
	"basilspan/internal/cmd/version"
)

// Main runs the program with args, of which the first is the program's name, and returns its exit code.
func Main(ctx context.Context, streams stream.Streams, args []string) stream.ExitCode {
	err := New(streams).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "basilspan: %v\n", err)
	}
	var usage cli.ExitCoder
	if errors.As(err, &usage) {
		// Only the cli library's errors about arguments implement ExitCoder.
		return stream.ExitUsage
	}
	return stream.ExitCodeOf(err)
}

// New returns the root command.
func New(streams stream.Streams) *cli.Command {
	root := &cli.Command{
		Name:                  "basilspan",
		Usage:                 "a query tier over many shards",
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "The exit codes are 0 for success, 1 for a failure, 2 for invalid arguments or settings, and 3 for " +
			"a negative finding; docs/RESULTS.md lists them.\n\n" +
			"Examples:\n   basilspan demo\n   basilspan serve --help\n   basilspan completion bash",
		ConfigureShellCompletionCommand: func(cmd *cli.Command) { cmd.Hidden = false },
		Commands: []*cli.Command{
			serve.New(streams, nil),
			gateway.New(streams, nil),
			explain.New(streams, nil),
			query.New(streams, nil),
			config.New(streams),
			status.New(streams, nil),
			top.New(streams, nil),
			drain.New(streams, nil),
			demo.New(streams, nil),
			replay.New(streams, nil),
			version.New(streams),
		},
	}
	setUsageErrors(root, root.Name)
	return root
}

// setUsageErrors makes cmd and all its subcommands end with ExitUsage, and point to the help, if they are called with
// an invalid flag or an unknown subcommand. A command with subcommands prints its help if called without one.
func setUsageErrors(cmd *cli.Command, path string) {
	usageError := func(err error) error {
		return stream.WithExitCode(errors.Newf("%v; see %s --help", err, path), stream.ExitUsage)
	}
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err) }
	for _, sub := range cmd.Commands {
		setUsageErrors(sub, path+" "+sub.Name)
	}
	if len(cmd.Commands) == 0 {
		return
	}
	cmd.Action = func(_ context.Context, cmd *cli.Command) error {
		if name := cmd.Args().First(); name != "" {
			return usageError(errors.Newf("there is no command %q", name))
		}
		return cli.ShowSubcommandHelp(cmd)
	}
}
