// Package member decides which entry VMs are alive and which VMs are leaving, from a platform list that lags and from
// the signs of the VMs themselves.
package member

import "basilspan/internal/core/unit"

// State is where a VM stands in its life.
type State string

// The states.
const (
	// StateLive means that the VM takes new work.
	StateLive State = "live"
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
