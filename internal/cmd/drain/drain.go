// Package drain is the command that begins the planned stop of an entry VM.
package drain

import (
	"context"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

// Options are what the command works with.
type Options struct {
	Streams stream.Streams
	Client  *stream.Client
	JSON    bool
}

// wireDrain is the result as JSON.
type wireDrain struct {
	Operator string `json:"operator"`
	Begun    bool   `json:"begun"`
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Client: stream.NewClient()}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "drain",
		Usage: "begin the planned stop of an entry VM",
		Description: "The entry VM says that it is not ready, serves on for --lag, finishes what is in flight and " +
			"ends. The command does not wait for that.\n\nExamples:\n   basilspan drain --operator 127.0.0.1:8081",
		Flags: []cli.Flag{opts.Client.AddressFlag(), stream.JSONFlag(&opts.JSON)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := stream.Args(cmd, 0, 0, "no argument"); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

// Run asks for the stop.
func Run(ctx context.Context, opts *Options) error {
	if err := opts.Client.Post(ctx, "/drain"); err != nil {
		return err
	}
	if opts.JSON {
		return opts.Streams.PrintJSON(wireDrain{Operator: opts.Client.Address, Begun: true})
	}
	opts.Streams.Printf("the planned stop of %s has begun\n", opts.Client.Address)
	return nil
}
