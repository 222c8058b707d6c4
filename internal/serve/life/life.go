// Package life is the lifecycle of an entry VM.
package life

import (
	"context"
	"log/slog"
	"sync"

	"github.com/qmuntal/stateless"
)

// State is where an entry VM stands in its lifecycle.
type State string

// The states.
const (
	StateStarting State = "starting"
	// StateReady is the state in which the balancer may send callers.
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateStopped  State = "stopped"
)

// Trigger is what moves an entry VM to another state.
type Trigger string

// The triggers.
const (
	TriggerReady   Trigger = "ready"
	TriggerDrain   Trigger = "drain"
	TriggerStopped Trigger = "stopped"
)

// Lifecycle is the lifecycle of one entry VM; several goroutines may use it.
type Lifecycle struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New makes a lifecycle that starts and logs each change of state.
func New(log *slog.Logger) *Lifecycle {
	m := stateless.NewStateMachine(StateStarting)
	m.Configure(StateStarting).
		Permit(TriggerReady, StateReady).
		Permit(TriggerDrain, StateDraining)
	m.Configure(StateReady).
		Permit(TriggerDrain, StateDraining)
	m.Configure(StateDraining).
		Permit(TriggerStopped, StateStopped)
	m.Configure(StateStopped)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		log.Info("state changed", "from", t.Source, "to", t.Destination)
	})
	return &Lifecycle{machine: m}
}

// Fire hands a trigger to the machine; one that the state does not permit changes nothing.
func (l *Lifecycle) Fire(trigger Trigger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.machine.Fire(trigger)
}

// State gives the state; configured says whether requests can be served, which makes a starting VM ready.
func (l *Lifecycle) State(canServe bool) State {
	if canServe {
		l.Fire(TriggerReady)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, _ := l.machine.MustState().(State)
	return state
}
