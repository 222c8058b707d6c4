package config

import (
	"context"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
)

type (
	// wireChange is one difference as printed with --json. Old or New is empty if only one side has the setting.
	wireChange struct {
		Path string `json:"path"`
		Old  string `json:"old"`
		New  string `json:"new"`
	}

	// wireRunning is the response of an entry VM to GET /config.
	wireRunning struct {
		Values []struct {
			Path string `json:"path"`
			JSON string `json:"value"`
		} `json:"values"`
	}
)

// DiffOptions are the arguments and dependencies of the command.
type DiffOptions struct {
	Streams stream.Streams
	Client  *stream.Client
	// New is a folder, or a file with a routing table, and Old what it is compared with. If Old is empty, that is the
	// configuration in force at the entry VM.
	Old  string
	New  string
	JSON bool
	// Read reads the folder dir and returns an error if it is not valid.
	Read func(dir string) (folder.Result, error)
}

// NewDiff returns the command. Tests pass run in place of Diff; nil means Diff.
func NewDiff(streams stream.Streams, run func(ctx context.Context, opts *DiffOptions) error) *cli.Command {
	opts := &DiffOptions{Streams: streams, Client: stream.NewClient(), Read: readValidFolder}
	if run == nil {
		run = Diff
	}
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what a new folder or routing table would change, against an old one or a running entry VM",
		ArgsUsage: "[OLD] NEW",
		Description: "With one folder, the old one is the configuration in force at --operator, and with one routing " +
			"table, --operator is the metrics port of a gateway. The exit code is 0 with or without differences.\n\n" +
			"Examples:\n   basilspan config diff conf conf.new\n   basilspan config diff --operator 127.0.0.1:8081 conf.new\n" +
			"   basilspan config diff --operator 10.0.0.1:7399 table.json",
		Flags: []cli.Flag{opts.Client.AddressFlag(), stream.JSONFlag(&opts.JSON)},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := stream.Args(cmd, 1, 2, "the new folder or routing table, or the old and the new one")
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

// Diff prints the settings that the new folder adds, removes or changes.
func Diff(ctx context.Context, opts *DiffOptions) error {
	after, err := opts.values(opts.New)
	if err != nil {
		return err
	}
	before, err := opts.baseline(ctx)
	if err != nil {
		return err
	}
	changes := folder.Diff(before, after)
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

// values returns the settings of a folder, or the values of a routing table.
func (o *DiffOptions) values(path string) ([]folder.Value, error) {
	if isTable(path) {
		return tableValues(path)
	}
	result, err := o.Read(path)
	return folder.Flatten(result.Catalog), err
}

// baseline returns the values of the old folder or table, or those in force at the entry VM.
func (o *DiffOptions) baseline(ctx context.Context) ([]folder.Value, error) {
	if o.Old != "" {
		return o.values(o.Old)
	}
	if isTable(o.New) {
		return runningTableValues(ctx, o.Client)
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
