package member

import "github.com/qmuntal/stateless"

// trigger is what moves a VM from one state to the next.
type trigger string

// The triggers.
const (
	// triggerLiveHeartbeat means that a live VM's counter has grown.
	triggerLiveHeartbeat trigger = "heard"
	// triggerStartingHeartbeat means that a starting VM's counter has grown.
	triggerStartingHeartbeat trigger = "starting"
	// triggerSilent means that the counter has not grown for SuspectAfter.
	triggerSilent trigger = "silent"
	// triggerLost means that the counter has not grown for DeadAfter.
	triggerLost trigger = "lost"
	// triggerLeave means that the VM or the platform's list says that it is leaving.
	triggerLeave trigger = "leave"
)

// nextState gives the state after a trigger. The machine is made for the one step, since transitions are rare and a kept
// machine for each VM would take more memory than all else that is known of it.
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
