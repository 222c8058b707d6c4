package config

import (
	"context"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
)

// wireSetting is one setting of the merged folder; File is empty for a default.
type wireSetting struct {
	Path  string `json:"path"`
	Value string `json:"value"`
	File  string `json:"file"`
	Line  int    `json:"line"`
}

// ShowOptions are what the command works with.
type ShowOptions struct {
	Streams stream.Streams
	Dir     string
	Path    string
	JSON    bool
	// Read reads a valid folder.
	Read func(dir string) (folder.Result, error)
}

// NewShow makes the command; run replaces Show in tests and may be nil.
func NewShow(streams stream.Streams, run func(ctx context.Context, opts *ShowOptions) error) *cli.Command {
	opts := &ShowOptions{Streams: streams, Read: readValidFolder}
	if run == nil {
		run = Show
	}
	return &cli.Command{
		Name:        "show",
		Usage:       "print the merged folder, with the file and line that each value comes from",
		ArgsUsage:   "DIR",
		Description: "Examples:\n   basilspan config show conf\n   basilspan config show --path ranks conf",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "path", Usage: "print only the settings below this path", Destination: &opts.Path},
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

// Show prints the merged folder.
func Show(_ context.Context, opts *ShowOptions) error {
	result, err := opts.Read(opts.Dir)
	if err != nil {
		return err
	}
	all := []wireSetting{}
	for _, v := range folder.Flatten(result.Catalog) {
		if opts.Path != "" && v.Path != opts.Path && !strings.HasPrefix(v.Path, opts.Path+".") {
			continue
		}
		one := wireSetting{Path: v.Path, Value: v.JSON}
		if place, ok := result.Locate(v.Path); ok {
			one.File, one.Line = place.File, place.Line
		}
		all = append(all, one)
	}
	if opts.JSON {
		return opts.Streams.PrintJSON(all)
	}
	for _, s := range all {
		from := "default"
		if s.File != "" {
			from = s.File + ":" + strconv.Itoa(s.Line)
		}
		opts.Streams.Printf("%s = %s  (%s)\n", s.Path, s.Value, from)
	}
	return nil
}
