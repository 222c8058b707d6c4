package stream

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSignals checks that a signal is seen, and that one which comes when nobody waits for it any more does not end the
// process: the test's own process would end.
func TestSignals(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
		// begin starts to wait for the signal; seen is closed by it, and end ends the wait.
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
				t.Fatal("the signal is not seen")
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
