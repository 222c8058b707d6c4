// Package member decides which entry VMs are alive and which are leaving, from a platform list that lags and from the
// heartbeats of the VMs themselves.
//
// The list only seeds addresses. A VM's heartbeats carry its incarnation, a counter and whether it is leaving; the
// highest incarnation counts, within it the highest counter, and leaving is kept for the rest of the incarnation.
package member

import "basilspan/internal/core/unit"

// State is where a VM stands in its life.
type State string

// The states. A VM says of itself that it is starting, live or leaving; the others judge its silence.
const (
	// StateStarting means that the VM does not know yet what is in force and takes no work.
	StateStarting State = "starting"
	// StateLive means that the VM takes new work.
	StateLive State = "live"
	// StateSuspect means that the VM has not been heard for a while, or never.
	StateSuspect State = "suspect"
	// StateDead means that the VM has not been heard for so long that it counts as lost.
	StateDead State = "dead"
	// StateLeaving means that the VM finishes its work and takes no more.
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

// Beat counts a VM's heartbeats within one incarnation.
type Beat uint64

// Record is what a VM says of itself in its heartbeats. Other VMs pass it on unchanged.
type Record struct {
	Member
	Beat Beat
}

// statePrecedence ranks what a VM says of itself; within an incarnation it only grows.
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
