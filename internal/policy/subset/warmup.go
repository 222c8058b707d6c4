package subset

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// warmupPerVM is the mean time between two VMs that open connections to the same endpoint before requests need them. An
// endpoint spends up to this time on each, and accepts fewer connections while they queue.
const warmupPerVM = 10 * time.Millisecond

// Warmup decides to which endpoints a VM opens a connection before a request needs one: once to each that it normally
// uses. A connection that the endpoint has closed since, because it was idle, is opened again by a request. Warmup is not
// safe for concurrent use.
type Warmup struct {
	// Rand returns a random number from 0 to 1.
	Rand func() float64

	done map[unit.EndpointID]bool
}

// Connection is a connection to open after a delay.
type Connection struct {
	Address unit.Address
	After   time.Duration
}

// Plan returns the connections to open for the services that the VM normally uses. All VMs learn of an endpoint at the
// same time, so the delays spread their connections. Where an endpoint accepts fewer connections than there are VMs,
// requests alone open them.
func (w *Warmup) Plan(
	used func(unit.ServiceName) bool, budget func(unit.ServiceName) ConnectionBudget,
	byService map[unit.ServiceName][]directory.Endpoint,
) []Connection {
	var plan []Connection
	done := make(map[unit.EndpointID]bool)
	for service, endpoints := range byService {
		b := budget(service)
		wanted := used(service) && !b.scarce()
		for _, e := range endpoints {
			switch {
			case w.done[e.ID]:
				done[e.ID] = true
			case wanted && !e.Lapsed:
				done[e.ID] = true
				spread := warmupPerVM * time.Duration(max(b.VMs, 1))
				plan = append(plan, Connection{Address: e.Address, After: time.Duration(w.Rand() * float64(spread))})
			}
		}
	}
	w.done = done
	return plan
}
