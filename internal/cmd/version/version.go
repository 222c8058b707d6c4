// Package version implements the command that prints the program's version.
package version

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

// wireVersion is the result as printed with --json.
type wireVersion struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// New returns the version command.
func New(streams stream.Streams) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Examples:\n   basilspan version",
		Flags:       []cli.Flag{stream.JSONFlag(&asJSON)},
		Action: func(context.Context, *cli.Command) error {
			if asJSON {
				return streams.PrintJSON(wireVersion{Version: version(), Go: runtime.Version()})
			}
			streams.Printf("basilspan %s %s\n", version(), runtime.Version())
			return nil
		},
	}
}

// version returns the version of the main module from the build information, or "(devel)" if there is none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
