package config

import (
	"context"
	"fmt"

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
	// Path is a folder, or a file with a routing table.
	Path   string
	Strict bool
	JSON   bool
	// Client asks a gateway for its table and endpoints, unless its address is empty.
	Client *stream.Client
	// Read reads and checks the folder dir.
	Read func(dir string) (folder.Result, error)
}

// NewCheck returns the command. Tests pass run in place of Check; nil means Check.
func NewCheck(streams stream.Streams, run func(ctx context.Context, opts *CheckOptions) error) *cli.Command {
	opts := &CheckOptions{Streams: streams, Client: stream.NewClient(), Read: readFolder}
	if run == nil {
		run = Check
	}
	return &cli.Command{
		Name:      "check",
		Usage:     "check a folder or a routing table and print every problem with its file, line and field",
		ArgsUsage: "DIR|FILE",
		Description: "The exit code is 3 if there are errors. Warnings leave it at 0, except with --strict. A file is " +
			"checked as a routing table, with --gateway also against the version in force and the endpoints.\n\n" +
			"Examples:\n   basilspan config check conf\n   basilspan config check --strict --json conf\n" +
			"   basilspan config check --gateway 10.0.0.1:7399 table.json",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "strict", Usage: "treat warnings as errors", Destination: &opts.Strict},
			stream.JSONFlag(&opts.JSON),
			&cli.StringFlag{
				Name: "gateway", Usage: "address of a gateway's metrics port, for a routing table",
				Destination: &opts.Client.Address,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := stream.Args(cmd, 1, 1, "one folder or routing table")
			if err != nil {
				return err
			}
			opts.Path = args[0]
			return run(ctx, opts)
		},
	}
}

// Check prints the problems of a folder or a routing table. If there are errors, or with --strict any problems, the
// returned error has the exit code ExitNegative.
func Check(ctx context.Context, opts *CheckOptions) error {
	if isTable(opts.Path) {
		return opts.checkTable(ctx)
	}
	result, err := opts.Read(opts.Path)
	if err != nil {
		return err
	}
	size := ""
	if result.Catalog != nil {
		size = fmt.Sprintf("%d ranks, %d searches", len(result.Catalog.Ranks), len(result.Catalog.Searches))
	}
	return opts.report(result.Problems, size)
}

// report prints the problems as JSON, or one on each line, followed by the size if there are no errors. It returns an
// error with the exit code ExitNegative as Check says.
func (o *CheckOptions) report(problems []folder.Problem, size string) error {
	failed := len(folder.Result{Problems: problems}.Errors())
	if err := o.print(problems, failed == 0, size); err != nil {
		return err
	}
	if o.Strict {
		failed = len(problems)
	}
	if failed > 0 {
		return stream.WithExitCode(errors.Newf("%s has %d problems", o.Path, failed), stream.ExitNegative)
	}
	return nil
}

// print prints the problems and, if the configuration is valid, its size.
func (o *CheckOptions) print(problems []folder.Problem, valid bool, size string) error {
	if o.JSON {
		w := wireCheck{Valid: valid, Problems: []wireProblem{}}
		for _, p := range problems {
			w.Problems = append(w.Problems, wireProblem{
				Severity: p.Severity.String(), File: p.File, Line: p.Line, Field: p.Field, Text: p.Text,
			})
		}
		return o.Streams.PrintJSON(w)
	}
	for _, p := range problems {
		o.Streams.Printf("%s: %s\n", p.Severity, p)
	}
	if valid {
		o.Streams.Printf("%s is valid: %s\n", o.Path, size)
	}
	return nil
}
