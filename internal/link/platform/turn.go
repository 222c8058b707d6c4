package platform

import (
	"context"
	"sync"
	"time"
)

// turn is one read of the service and the pause after it, which can be cut short.
type turn struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	// settled is false while the next read must not wait at the service.
	settled bool
}

// begin gives the context of the next turn, and how long its read may wait at the service.
func (t *turn) begin(ctx context.Context) (current context.Context, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, t.cancel = context.WithCancel(ctx)
	if t.settled {
		wait = watchTime
	}
	t.settled = true
	return current, wait
}

func (t *turn) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// interrupt ends the turn; the next one begins at once and does not wait.
func (t *turn) interrupt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = false
	if t.cancel != nil {
		t.cancel()
	}
}
