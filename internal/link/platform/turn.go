package platform

import (
	"context"
	"sync"
	"time"
)

// readCycle is one read of the service and the pause after it, which can be cut short.
type readCycle struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	// mayWait is false while the next read must not wait at the service.
	mayWait bool
}

// begin gives the context of the next turn, and how long its read may wait at the service.
func (t *readCycle) begin(ctx context.Context) (current context.Context, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, t.cancel = context.WithCancel(ctx)
	if t.mayWait {
		wait = watchTimeout
	}
	t.mayWait = true
	return current, wait
}

func (t *readCycle) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// interrupt ends the turn; the next one begins at once and does not wait.
func (t *readCycle) interrupt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mayWait = false
	if t.cancel != nil {
		t.cancel()
	}
}
