// Package process holds one process's own settings: its name, its data centre and its addresses. They come from
// flags and environment variables, apart from the operators' folder.
package process

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
)

// Settings are an entry VM's own settings.
type Settings struct {
	Node     unit.NodeID
	Centre   unit.CentreName
	Caller   unit.Address
	Operator unit.Address
	Peer     unit.Address
	Platform unit.Address
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
	addresses := []struct {
		name    string
		address unit.Address
	}{
		{"caller", s.Caller},
		{"operator", s.Operator},
		{"peer", s.Peer},
		{"platform", s.Platform},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(string(a.address)); err != nil {
			err := errors.Newf("%s: %q is no IP number and port; set --%s", a.name, a.address, a.name)
			all = errors.CombineErrors(all, err)
		}
	}
	return all
}
