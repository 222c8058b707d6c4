package subset

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// TestPerVM checks how an endpoint's connection limit is divided among the VMs that use it.
func TestPerVM(t *testing.T) {
	tests := []struct {
		name        string
		connections unit.Connections
		vms         int
		slots       unit.Slots
		want        int
	}{
		{"as many as the endpoint can use", 25, 6, 2, 3},
		{"a share of what it accepts", 28, 10, 4, 2},
		{"at least one", 25, 58, 2, 1},
		{"no limit published", 0, 600, 2, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, ConnectionBudget{Connections: tt.connections, VMs: tt.vms}.PerVM(tt.slots), tt.want)
		})
	}
}

// TestSubset checks that the VMs that use one endpoint stay at about the number of connections that it accepts, and
// that each VM can reach every service even where that takes more connections.
func TestSubset(t *testing.T) {
	tests := []struct {
		name        string
		vms         int
		connections unit.Connections
		replicas    int
		// most is how many VMs may use one endpoint.
		most int
	}{
		{"few VMs reach all", 6, 25, 2, 6},
		{"many VMs", 58, 51, 3, 51},
		{"very many VMs and replicas", 300, 51, 12, 60},
		{"one replica is reached by all", 300, 51, 1, 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := make(map[unit.ServiceName][]directory.Endpoint)
			for s := range 20 {
				name := unit.ServiceName(fmt.Sprint("s", s))
				for r := range tt.replicas {
					id := unit.EndpointID(fmt.Sprint(name, "-", r))
					all[name] = append(all[name], directory.Endpoint{Registration: directory.Registration{ID: id}})
				}
			}
			reached := make(map[unit.EndpointID]int)
			for vm := range tt.vms {
				got := Subset(unit.NodeID(fmt.Sprint("n", vm)), func(unit.ServiceName) ConnectionBudget {
					return ConnectionBudget{Connections: tt.connections, VMs: tt.vms}
				}, all)
				for name, endpoints := range got {
					assert.Assert(t, len(endpoints) > 0, name)
					for _, e := range endpoints {
						reached[e.ID]++
					}
				}
			}
			for id, n := range reached {
				assert.Assert(t, n <= tt.most, "%s is reached by %d VMs", id, n)
			}
		})
	}
}
