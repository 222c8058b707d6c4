package config

import (
	"context"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
)

type (
	wireChange struct {
		Path string `json:"path"`
		Old  string `json:"old"`
		New  string `json:"new"`
	}

	// wireRunning is what an entry VM answers to GET /config.
	wireRunning struct {
		Values []struct {
			Path string `json:"path"`
			JSON string `json:"value"`
		} `json:"values"`
	}
)

// DiffOptions are what the command works with.
type DiffOptions struct {
	Streams stream.Streams
	Client  *stream.Client
	// Old is a folder, or empty for the configuration in force at an entry VM.
	Old  string
	New  string
	JSON bool
	// Read reads a valid folder.
	Read func(dir string) (folder.Result, error)
}

// NewDiff makes the command; run replaces Diff in tests and may be nil.
func NewDiff(streams stream.Streams, run func(ctx context.Context, opts *DiffOptions) error) *cli.Command {
	opts := &DiffOptions{Streams: streams, Client: stream.NewClient(), Read: readValidFolder}
	if run == nil {
		run = Diff
	}
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what a new folder would change, against a folder or a running entry VM",
		ArgsUsage: "[OLD] NEW",
		Description: "With one folder, the old one is the configuration in force at --operator. The exit code is 0 " +
			"with or without differences.\n\nExamples:\n   basilspan config diff conf conf.new\n" +
			"   basilspan config diff --operator 127.0.0.1:8081 conf.new",
		Flags: []cli.Flag{opts.Client.AddressFlag(), stream.JSONFlag(&opts.JSON)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := stream.Args(cmd, 1, 2, "the new folder, or the old and the new one")
			if err != nil {
				return err
			}
			opts.New = args[len(args)-1]
			if len(args) == 2 {
				opts.Old = args[0]
			}
			return run(ctx, opts)
		},
	}
}

// Diff prints the differences.
func Diff(ctx context.Context, opts *DiffOptions) error {
	after, err := opts.Read(opts.New)
	if err != nil {
		return err
	}
	before, err := opts.baseline(ctx)
	if err != nil {
		return err
	}
	changes := folder.Diff(before, folder.Flatten(after.Catalog))
	if opts.JSON {
		all := []wireChange{}
		for _, c := range changes {
			all = append(all, wireChange{Path: c.Path, Old: c.Old, New: c.New})
		}
		return opts.Streams.PrintJSON(all)
	}
	for _, c := range changes {
		switch {
		case c.Old == "":
			opts.Streams.Printf("+ %s = %s\n", c.Path, c.New)
		case c.New == "":
			opts.Streams.Printf("- %s = %s\n", c.Path, c.Old)
		default:
			opts.Streams.Printf("~ %s = %s (was %s)\n", c.Path, c.New, c.Old)
		}
	}
	opts.Streams.Printf("%d settings differ\n", len(changes))
	return nil
}

// baseline gives the settings that the new folder is compared with.
func (o *DiffOptions) baseline(ctx context.Context) ([]folder.Value, error) {
	if o.Old != "" {
		result, err := o.Read(o.Old)
		return folder.Flatten(result.Catalog), err
	}
	var running wireRunning
	if err := o.Client.Get(ctx, "/config", &running); err != nil {
		return nil, err
	}
	var all []folder.Value
	for _, v := range running.Values {
		all = append(all, folder.Value{Path: v.Path, JSON: v.JSON})
	}
	return all, nil
}
