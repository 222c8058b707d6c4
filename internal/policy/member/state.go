package member

import "github.com/qmuntal/stateless"

// trigger is an event that moves a VM from one state to another.
type trigger string

// Triggers of the state machine.
const (
	// triggerLiveHeartbeat fires when a VM that reports itself live has increased its heartbeat counter.
	triggerLiveHeartbeat trigger = "heard"
	// triggerStartingHeartbeat fires when a VM that reports itself starting has increased its heartbeat counter.
	triggerStartingHeartbeat trigger = "starting"
	// triggerSilent fires when no heartbeat has arrived for SuspectAfter.
	triggerSilent trigger = "silent"
	// triggerLost fires when no heartbeat has arrived for DeadAfter.
	triggerLost trigger = "lost"
	// triggerLeave fires when the VM or the platform's list reports that the VM is leaving.
	triggerLeave trigger = "leave"
)

// nextState returns the state that follows from after trigger t, or from itself if that state does not permit t. It
// builds a state machine for each call: transitions are rare, and keeping one machine per VM would take more memory
// than everything else stored about the VM.
func nextState(from State, t trigger) State {
	m := stateless.NewStateMachine(from)
	m.Configure(StateStarting).
		Permit(triggerLiveHeartbeat, StateLive).
		Permit(triggerSilent, StateSuspect).
		Permit(triggerLost, StateDead).
		Permit(triggerLeave, StateLeaving)
	m.Configure(StateLive).
		Permit(triggerSilent, StateSuspect).
		Permit(triggerLost, StateDead).
		Permit(triggerLeave, StateLeaving)
	m.Configure(StateSuspect).
		Permit(triggerLiveHeartbeat, StateLive).
		Permit(triggerStartingHeartbeat, StateStarting).
		Permit(triggerLost, StateDead).
		Permit(triggerLeave, StateLeaving)
	m.Configure(StateDead).
		Permit(triggerLiveHeartbeat, StateLive).
		Permit(triggerStartingHeartbeat, StateStarting).
		Permit(triggerLeave, StateLeaving)
	m.Configure(StateLeaving).
		Permit(triggerLost, StateDead)
	if err := m.Fire(t); err != nil {
		// The state does not permit the trigger.
		return from
	}
	to, ok := m.MustState().(State)
	if !ok {
		return from
	}
	return to
}
