// Command standin runs the stand-ins of the platform and the endpoints, and the load sender.
package main

import (
	"context"
	"os"

	"basilspan/internal/cmd/standin"
	"basilspan/internal/cmd/stream"
)

func main() {
	os.Exit(int(standin.Main(context.Background(), stream.SystemStreams(), os.Args)))
}
