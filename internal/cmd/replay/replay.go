// Package replay implements the command that runs a recorded trace through the decision logic again and compares the
// outcomes with the recorded ones.
package replay

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/core/trace"
	"basilspan/internal/policy/replay"
)

// standardInput is the file name for the standard input.
const standardInput = "-"

type (
	// wireResult is the result as printed with --json.
	wireResult struct {
		File        string           `json:"file"`
		Runs        int              `json:"runs"`
		Outcomes    int              `json:"outcomes"`
		Dropped     int64            `json:"dropped"`
		Ended       bool             `json:"ended"`
		Differences []wireDifference `json:"differences"`
	}

	wireDifference struct {
		Line     int    `json:"line"`
		Run      uint64 `json:"run"`
		Kind     string `json:"kind"`
		Expected string `json:"expected"`
		Got      string `json:"got"`
	}
)

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams stream.Streams
	File    string
	JSON    bool
	// Open opens the trace file.
	Open func(name string) (io.ReadCloser, error)
}

// New returns the command. Tests pass run in place of Run; nil means Run.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams}
	opts.Open = opts.open
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:      "replay",
		Usage:     "run a recorded trace through the decision logic and compare the outcomes",
		ArgsUsage: "FILE",
		Description: "FILE is a trace, or - for the standard input. The exit code is 0 only if every outcome equals the " +
			"recorded one.\n\nExamples:\n   curl -s '127.0.0.1:8081/trace?seconds=10' > trace.jsonl\n" +
			"   basilspan replay trace.jsonl",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Destination: &opts.JSON},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return stream.WithExitCode(errors.New("expected one trace file, or - for standard input"), stream.ExitUsage)
			}
			opts.File = cmd.Args().First()
			return run(ctx, opts)
		},
	}
}

// Run replays the trace and prints the result. The error for a different outcome, or for a trace without one, ends with
// ExitNegative; that for an unreadable trace ends with ExitUsage.
func Run(_ context.Context, opts *Options) error {
	file, err := opts.Open(opts.File)
	if err != nil {
		return stream.WithExitCode(errors.Wrap(err, "open the trace"), stream.ExitUsage)
	}
	defer func() { _ = file.Close() }()
	records, err := trace.Decode(file)
	if err != nil {
		return stream.WithExitCode(errors.Wrapf(err, "%s", opts.File), stream.ExitUsage)
	}
	result := replay.Run(records)
	if err := printResult(opts, result); err != nil {
		return err
	}
	return resultError(opts.File, result)
}

// resultError returns an error if an outcome differs or the trace has none to compare.
func resultError(file string, result replay.Result) error {
	if n := len(result.Differences); n > 0 {
		err := errors.Newf("%s: %d of %d outcomes differ", file, n, result.Outcomes)
		return stream.WithExitCode(err, stream.ExitNegative)
	}
	if result.Outcomes == 0 {
		return stream.WithExitCode(errors.Newf("%s: the trace has no outcomes to compare", file), stream.ExitNegative)
	}
	return nil
}

// printResult prints the counts and the first difference, or all of the result as JSON.
func printResult(opts *Options, result replay.Result) error {
	if opts.JSON {
		return opts.Streams.PrintJSON(newWireResult(opts.File, result))
	}
	opts.Streams.Printf("%s: %d runs, %d outcomes, %d differences, %d records dropped\n",
		opts.File, result.Runs, result.Outcomes, len(result.Differences), result.Dropped)
	if !result.Ended {
		opts.Streams.Printf("the trace has no end record: it is incomplete\n")
	}
	if len(result.Differences) > 0 {
		d := result.Differences[0]
		opts.Streams.Printf("first difference: line %d, run %d, %s\n  expected: %s\n  got:      %s\n",
			d.Line, d.Run, d.Kind, d.Expected, d.Got)
	}
	return nil
}

// newWireResult returns the result as printed with --json.
func newWireResult(file string, result replay.Result) wireResult {
	w := wireResult{
		File:        file,
		Runs:        result.Runs,
		Outcomes:    result.Outcomes,
		Dropped:     result.Dropped,
		Ended:       result.Ended,
		Differences: []wireDifference{},
	}
	for _, d := range result.Differences {
		w.Differences = append(w.Differences, wireDifference{
			Line:     d.Line,
			Run:      uint64(d.Run),
			Kind:     string(d.Kind),
			Expected: d.Expected,
			Got:      d.Got,
		})
	}
	return w
}

// open opens a trace file, or the standard input for "-".
func (o *Options) open(name string) (io.ReadCloser, error) {
	if name == standardInput {
		return io.NopCloser(o.Streams.In), nil
	}
	return os.Open(name)
}
