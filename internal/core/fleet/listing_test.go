package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/vmcount"
)

// TestHandleChanges checks that a follower's call waits for a change while the VM runs, and is refused when the VM
// stops, so that the follower can fail over.
func TestHandleChanges(t *testing.T) {
	tests := []struct {
		name string
		// before and meanwhile are whether the VM stops before the follower's call or during it.
		before, meanwhile bool
		wait              time.Duration
		refused           bool
	}{
		{"nothing changes", false, false, 20 * time.Millisecond, false},
		{"the VM stops during the call", false, true, time.Minute, true},
		{"the VM is stopping already", true, false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			waiting := make(chan struct{})
			f := &Fleet{
				Self: vmcount.Caller{Centre: "z"},
				Now:  time.Now,
				Rand: func() float64 { return 0 },
				AwaitChanges: func(ctx context.Context, _ registry.Prefix, _ unit.Position) registry.Update {
					close(waiting)
					<-ctx.Done()
					return registry.Update{ConfirmedAt: time.Now()}
				},
			}
			f.SetSeeds(nil)
			f.Install(kernel.NewLoop(time.Now), peer.New("127.0.0.1:0"))
			if tt.before {
				f.Leave(t.Context())
			}
			if tt.meanwhile {
				go func() {
					<-waiting
					f.Leave(t.Context())
				}()
			}
			_, err := f.handleChanges(t.Context(), wireChangesQuery{Wait: tt.wait.Milliseconds()})
			assert.Equal(t, err != nil, tt.refused)
		})
	}
}

// TestCallSeeds checks that a seed that does not respond does not delay the calls of the others.
func TestCallSeeds(t *testing.T) {
	tests := []struct {
		name  string
		lost  []unit.Address
		want  int
		calls int
	}{
		{"all respond", nil, 3, 3},
		{"one does not respond", []unit.Address{"a"}, 2, 3},
		{"none responds", []unit.Address{"a", "b", "c"}, 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// Each call waits until all have begun, which never happens if they run one after the other.
			var begun sync.WaitGroup
			begun.Add(tt.calls)
			f := &Fleet{
				Log: slog.New(slog.DiscardHandler),
				Call: func(ctx context.Context, to unit.Address, _ peer.Method, _, _ any) error {
					begun.Done()
					begun.Wait()
					if slices.Contains(tt.lost, to) {
						<-ctx.Done()
						return ctx.Err()
					}
					return nil
				},
			}
			f.leaving, f.leave = context.WithCancel(t.Context())
			f.SetSeeds([]unit.Address{"a", "b", "c"})
			assert.Equal(t, len(f.callSeeds(t.Context())), tt.want)
		})
	}
}
