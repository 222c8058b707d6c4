// Package member tracks which entry VMs are alive and which are leaving. It combines the platform's list of VMs, which
// lags, with the heartbeats that the VMs send themselves.
//
// The list only provides initial addresses. A heartbeat carries the VM's incarnation, a counter and whether the VM is
// leaving. The highest incarnation wins, and within an incarnation the highest counter. Once reported, leaving holds
// for the rest of the incarnation.
package member

import "basilspan/internal/core/unit"

// State is the lifecycle state of a VM.
type State string

// Lifecycle states. A VM reports itself as starting, live or leaving; suspect and dead are derived from missing
// heartbeats.
const (
	// StateStarting means that the VM has not learned the configuration in force yet and accepts no work.
	StateStarting State = "starting"
	// StateLive means that the VM accepts new work.
	StateLive State = "live"
	// StateSuspect means that no heartbeat has arrived for SuspectAfter, or none has ever arrived.
	StateSuspect State = "suspect"
	// StateDead means that no heartbeat has arrived for DeadAfter and the VM counts as lost.
	StateDead State = "dead"
	// StateLeaving means that the VM finishes its work and accepts no more.
	StateLeaving State = "leaving"
)

// Member is one entry VM.
type Member struct {
	ID          unit.NodeID
	Incarnation unit.Incarnation
	Centre      unit.CentreName
	// Peer is the address at which other entry VMs reach it.
	Peer  unit.Address
	State State
}

// Beat is a VM's heartbeat counter within one incarnation.
type Beat uint64

// Record is what a VM reports about itself in its heartbeats. Other VMs forward it unchanged.
type Record struct {
	Member
	Beat Beat
}

// statePrecedence orders the states that a VM can report about itself. Within an incarnation the reported state only
// moves to a higher precedence.
func statePrecedence(s State) int {
	switch s {
	case StateLeaving:
		return 2
	case StateLive:
		return 1
	default:
		return 0
	}
}
