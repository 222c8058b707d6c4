// Package lifecycle implements the lifecycle of an entry VM as a state machine.
package lifecycle

import (
	"context"
	"log/slog"
	"sync"

	"github.com/qmuntal/stateless"
)

// State is a state in the lifecycle of an entry VM. The values appear in log lines and in the status.
type State string

// States of an entry VM.
const (
	// StateStarting means that the VM cannot serve requests yet.
	StateStarting State = "starting"
	// StateReady means that the load balancer may send callers.
	StateReady State = "ready"
	// StateDraining means that a planned stop has begun; requests are still served.
	StateDraining State = "draining"
	// StateStopped means that all services have been closed.
	StateStopped State = "stopped"
)

// Trigger is an event that moves an entry VM to another state.
type Trigger string

// Triggers of state changes.
const (
	TriggerReady   Trigger = "ready"
	TriggerDrain   Trigger = "drain"
	TriggerStopped Trigger = "stopped"
)

// Lifecycle holds the state of one entry VM. It is safe for concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	machine *stateless.StateMachine
}

// New returns a lifecycle in StateStarting that logs each change of state.
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

// Fire applies a trigger. A trigger that the current state does not permit has no effect.
func (l *Lifecycle) Fire(trigger Trigger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.machine.Fire(trigger)
}

// State returns the current state. canServe reports whether requests can be served; if it is true, a starting VM
// becomes ready.
func (l *Lifecycle) State(canServe bool) State {
	if canServe {
		l.Fire(TriggerReady)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state, _ := l.machine.MustState().(State)
	return state
}
