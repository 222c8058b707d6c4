package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
)

type (
	// wireCheck is the result as printed with --json.
	wireCheck struct {
		Valid    bool          `json:"valid"`
		Problems []wireProblem `json:"problems"`
	}

	wireProblem struct {
		Severity string `json:"severity"`
		File     string `json:"file"`
		Line     int    `json:"line"`
		Field    string `json:"field"`
		Text     string `json:"text"`
	}
)

// CheckOptions are the arguments and dependencies of the command.
type CheckOptions struct {
	Streams stream.Streams
	Dir     string
	Strict  bool
	JSON    bool
	// Read reads and checks the folder dir.
	Read func(dir string) (folder.Result, error)
}

// NewCheck returns the command. Tests pass run in place of Check; nil means Check.
func NewCheck(streams stream.Streams, run func(ctx context.Context, opts *CheckOptions) error) *cli.Command {
	opts := &CheckOptions{Streams: streams, Read: readFolder}
	if run == nil {
		run = Check
	}
	return &cli.Command{
		Name:      "check",
		Usage:     "check a folder and print every problem with its file, line and field",
		ArgsUsage: "DIR",
		Description: "The exit code is 3 if entry VMs would refuse the folder. Warnings leave it at 0, except with " +
			"--strict.\n\nExamples:\n   basilspan config check conf\n   basilspan config check --strict --json conf",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "strict", Usage: "treat warnings as errors", Destination: &opts.Strict},
			stream.JSONFlag(&opts.JSON),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := stream.Args(cmd, 1, 1, "one folder")
			if err != nil {
				return err
			}
			opts.Dir = args[0]
			return run(ctx, opts)
		},
	}
}

// Check prints the problems of a folder. If it has errors, or with --strict any problems, the returned error has the
// exit code ExitNegative.
func Check(_ context.Context, opts *CheckOptions) error {
	result, err := opts.Read(opts.Dir)
	if err != nil {
		return err
	}
	if err := opts.print(result); err != nil {
		return err
	}
	failed := len(result.Errors())
	if opts.Strict {
		failed = len(result.Problems)
	}
	if failed > 0 {
		return stream.WithExitCode(errors.Newf("%s has %d problems", opts.Dir, failed), stream.ExitNegative)
	}
	return nil
}

// print prints the problems as JSON, or one on each line, followed by the size of a valid folder.
func (o *CheckOptions) print(result folder.Result) error {
	if o.JSON {
		w := wireCheck{Valid: result.Catalog != nil, Problems: []wireProblem{}}
		for _, p := range result.Problems {
			w.Problems = append(w.Problems, wireProblem{
				Severity: p.Severity.String(), File: p.File, Line: p.Line, Field: p.Field, Text: p.Text,
			})
		}
		return o.Streams.PrintJSON(w)
	}
	for _, p := range result.Problems {
		o.Streams.Printf("%s: %s\n", p.Severity, p)
	}
	if result.Catalog != nil {
		o.Streams.Printf("%s is valid: %d ranks, %d searches\n",
			o.Dir, len(result.Catalog.Ranks), len(result.Catalog.Searches))
	}
	return nil
}
