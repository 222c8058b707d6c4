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

// begin starts a cycle. It returns the cycle's context, which interrupt cancels, and how long the cycle's read may wait
// at the service for a change. The wait is 0 for the first read and for the read after an interrupt. end must follow.
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

// end releases the context of the current cycle. It is called after the pause that follows the read.
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
