// Command basilspan is the query tier's daemon and its operators' client.
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
