package stream

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopContext returns a context that is cancelled at the first SIGINT or SIGTERM. Later ones are ignored until the
// process ends, also after cancel: their default action would kill the process during its shutdown.
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

// HangupSignals returns a channel that receives each SIGHUP until the process ends. A SIGHUP that comes while one is
// pending is dropped.
func HangupSignals() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}
