package waitqueue

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

// TestWaitEndsWithItsContext checks that a wait ends with its decision, or with the reason why its context ended.
func TestWaitEndsWithItsContext(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer stop()
	tests := []struct {
		name string
		ctx  context.Context
		// decision is returned at once if it is not 0.
		decision unit.Code
		want     unit.Code
	}{
		{"the decision is returned", context.Background(), unit.CodeOverloaded, unit.CodeOverloaded},
		{"cancelled while waiting", cancelled, 0, unit.CodeNotSent},
		{"past its deadline while waiting", late, 0, unit.CodeTooLate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var queue WaitQueue
			waiting := make(map[uint64]bool)
			code := queue.Wait(tt.ctx, func(id uint64) []rank.Decision {
				if tt.decision != 0 {
					return []rank.Decision{{Ticket: rank.Ticket{ID: id}, Code: tt.decision}}
				}
				waiting[id] = true
				return nil
			}, func(id uint64) bool { return waiting[id] })
			assert.Equal(t, code, tt.want)
		})
	}
}
