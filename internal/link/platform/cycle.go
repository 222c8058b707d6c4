package platform

import (
	"context"
	"sync"
	"time"
)

// readCycle is one read of the configuration or of the list of VMs, and the pause after it. Either can be interrupted.
type readCycle struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	// mayWait is false if the next read must not wait at the service for a change. It is false for the first read.
	mayWait bool
}

// begin starts a cycle. It returns the cycle's context and how long its read may wait at the service.
func (c *readCycle) begin(ctx context.Context) (current context.Context, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, c.cancel = context.WithCancel(ctx)
	if c.mayWait {
		wait = watchTimeout
	}
	c.mayWait = true
	return current, wait
}

// end releases the context of the current cycle.
func (c *readCycle) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
}

// interrupt ends the current cycle. The next one starts at once, and its read does not wait.
func (c *readCycle) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayWait = false
	if c.cancel != nil {
		c.cancel()
	}
}
