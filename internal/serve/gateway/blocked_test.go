package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/blocked"
)

// TestNoGoroutineWaitsInSystemCall guards against timers that fire late since a goroutine waits in a system call.
func TestNoGoroutineWaitsInSystemCall(t *testing.T) {
	f := newFixture(t).start()
	assert.Equal(t, f.request("GET", "/all/x", "r1", "").status, 200)
	assert.DeepEqual(t, blocked.InSystemCall(), []string(nil))
}
