// Command basilspan runs an entry VM of the query tier, and has the commands for its operators.
package main

import (
	"context"
	"os"

	"basilspan/internal/cmd/root"
	"basilspan/internal/cmd/stream"
)

func main() {
	os.Exit(int(root.Main(context.Background(), stream.SystemStreams(), os.Args)))
}
