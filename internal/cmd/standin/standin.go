// Package standin implements the standin program, which has commands that simulate the platform and the endpoints, and
// one that generates load.
package standin

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

// Main runs the program with args, of which the first is the program's name, and returns its exit code.
func Main(ctx context.Context, streams stream.Streams, args []string) stream.ExitCode {
	root := &cli.Command{
		Name:           "standin",
		Usage:          "stand-ins for the platform and the endpoints, and a load generator",
		Writer:         streams.Out,
		ErrWriter:      streams.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{newPlatform(streams), newEndpoint(streams), newLoad(streams)},
	}
	ctx, cancel := stream.StopContext(ctx)
	defer cancel()
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "standin: %v\n", err)
	}
	return stream.ExitCodeOf(err)
}
