// Command standin runs stand-ins for the platform and the endpoints, and a load generator.
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
