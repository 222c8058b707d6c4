// Package root is the entry of the basilspan program: it puts the commands together and gives the exit code.
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

// Main runs the program with its arguments, the program's name first.
func Main(ctx context.Context, streams stream.Streams, args []string) stream.ExitCode {
	err := New(streams).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "basilspan: %v\n", err)
	}
	var usage cli.ExitCoder
	if errors.As(err, &usage) {
		// Only the library's own errors about the arguments are of that kind.
		return stream.ExitUsage
	}
	return stream.ExitCodeOf(err)
}

// New makes the root command.
func New(streams stream.Streams) *cli.Command {
	root := &cli.Command{
		Name:                  "basilspan",
		Usage:                 "a query tier over many shards",
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "The exit codes are 0 for success, 1 for a failure, 2 for wrong arguments or settings, and 3 for " +
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

// setUsageErrors has every command end with ExitUsage, and say what to do next, when its flags or subcommand are wrong.
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
