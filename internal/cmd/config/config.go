// Package config is the commands about the operators' folder: check, show and diff.
package config

import (
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/folder"
)

// New makes the command and its subcommands.
func New(streams stream.Streams) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, show and compare configuration folders",
		Description: "The format and the merge rules are in docs/CONFIG.md.\n\n" +
			"Examples:\n   basilspan config check conf\n   basilspan config diff conf conf.new",
		Commands: []*cli.Command{
			NewCheck(streams, nil),
			NewShow(streams, nil),
			NewDiff(streams, nil),
		},
	}
}

// readFolder reads and checks a folder; a folder that can't be read is a wrong argument.
func readFolder(dir string) (folder.Result, error) {
	files, err := folder.Read(dir)
	if err != nil {
		return folder.Result{}, stream.WithExitCode(err, stream.ExitUsage)
	}
	return folder.Check(files), nil
}

// readValidFolder reads a folder and gives an error when it isn't valid.
func readValidFolder(dir string) (folder.Result, error) {
	result, err := readFolder(dir)
	if err != nil {
		return result, err
	}
	if n := len(result.Errors()); n > 0 {
		err := errors.Newf("%s is not valid, with %d errors; see basilspan config check %s", dir, n, dir)
		return result, stream.WithExitCode(err, stream.ExitNegative)
	}
	return result, nil
}
