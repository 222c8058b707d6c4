package entry

import (
	"context"
	"log/slog"
	"sync"

	"github.com/qmuntal/stateless"

	"basilspan/internal/serve/operator"
)

// The lifecycle states of an entry VM besides operator.StateReady.
const (
	stateStarting = "starting"
	stateDraining = "draining"
	stateStopped  = "stopped"
)

// The triggers of the lifecycle.
const (
	triggerReady   = "ready"
	triggerDrain   = "drain"
	triggerStopped = "stopped"
)

// life is the lifecycle of an entry VM.
type life struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

func newLife(log *slog.Logger) *life {
	m := stateless.NewStateMachine(stateStarting)
	m.Configure(stateStarting).
		Permit(triggerReady, operator.StateReady).
		Permit(triggerDrain, stateDraining)
	m.Configure(operator.StateReady).
		Permit(triggerDrain, stateDraining)
	m.Configure(stateDraining).
		Permit(triggerStopped, stateStopped)
	m.Configure(stateStopped)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		log.Info("state changed", "from", t.Source, "to", t.Destination)
	})
	return &life{machine: m}
}

// fire hands a trigger to the machine; one that the state does not permit changes nothing.
func (l *life) fire(trigger string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.machine.Fire(trigger)
}

// state gives the state; configured says whether a configuration is in force.
func (l *life) state(configured bool) string {
	if configured {
		l.fire(triggerReady)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, _ := l.machine.MustState().(string)
	return state
}
