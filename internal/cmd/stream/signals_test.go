package stream

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSignals checks that a signal is received, and that another one does not kill the process when nothing waits for
// signals any more. The test sends signals to its own process, so a failure would kill it.
func TestSignals(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
		// begin starts to wait for the signal, which closes seen; end stops waiting.
		begin func() (seen <-chan struct{}, end func())
	}{
		{"SIGTERM", syscall.SIGTERM, awaitStop},
		{"SIGINT", syscall.SIGINT, awaitStop},
		{"SIGHUP", syscall.SIGHUP, func() (<-chan struct{}, func()) {
			seen := make(chan struct{})
			hangups := HangupSignals()
			go func() {
				<-hangups
				close(seen)
			}()
			return seen, func() {}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seen, end := tt.begin()
			assert.NilError(t, syscall.Kill(syscall.Getpid(), tt.signal))
			select {
			case <-seen:
			case <-time.After(10 * time.Second):
				t.Fatal("the signal was not received")
			}
			end()
			assert.NilError(t, syscall.Kill(syscall.Getpid(), tt.signal))
			time.Sleep(20 * time.Millisecond)
		})
	}
}

func awaitStop() (<-chan struct{}, func()) {
	ctx, cancel := StopContext(context.Background())
	return ctx.Done(), cancel
}
