// Package process holds one process's own settings: its name, its data centre and its addresses. They come from
// flags and environment variables, apart from the operators' folder.
package process

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
)

// MaxLag is the longest time that a balancer may take to notice that an entry VM is not ready.
const MaxLag = 5 * time.Minute

// Settings are an entry VM's own settings.
type Settings struct {
	Node     unit.NodeID
	Centre   unit.CentreName
	Caller   unit.Address
	Operator unit.Address
	Peer     unit.Address
	Platform unit.Address
	// Advertise is the address at which the other entry VMs reach this one; empty means Peer.
	Advertise unit.Address
	// Peers are other entry VMs to ask when the platform's list cannot be read; it may be empty.
	Peers []unit.Address
	// Lag is how long the balancer may go on sending callers after this entry VM says that it is not ready.
	Lag time.Duration
}

// setting is one address with its name.
type setting struct {
	name    string
	address unit.Address
}

// Check gives an error that names each setting that is missing or wrong.
func (s Settings) Check() error {
	var all error
	if s.Node == "" {
		all = errors.CombineErrors(all, errors.New("node: must not be empty; set --node"))
	}
	if s.Centre == "" {
		all = errors.CombineErrors(all, errors.New("centre: must not be empty; set --centre"))
	}
	addresses := []setting{
		{"caller", s.Caller},
		{"operator", s.Operator},
		{"peer", s.Peer},
		{"platform", s.Platform},
	}
	if s.Advertise != "" {
		addresses = append(addresses, setting{"advertise", s.Advertise})
	}
	for _, p := range s.Peers {
		addresses = append(addresses, setting{"peers", p})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(string(a.address)); err != nil {
			err := errors.Newf("%s: %q is no IP number and port; set --%s", a.name, a.address, a.name)
			all = errors.CombineErrors(all, err)
		}
	}
	if s.Lag < 0 || s.Lag > MaxLag {
		all = errors.CombineErrors(all, errors.Newf("lag: must be from 0 to %s; set --lag", MaxLag))
	}
	return all
}
