package stream

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopContext gives a context that ends at the first SIGINT or SIGTERM. Further ones change nothing, up to the end of the
// process, which their default action would cut short.
func StopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-c:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// HangupSignals gives each SIGHUP, up to the end of the process.
func HangupSignals() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
