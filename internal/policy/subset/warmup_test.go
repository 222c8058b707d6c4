package subset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// TestWarmup checks to which endpoints a VM connects in advance, in a series of views.
func TestWarmup(t *testing.T) {
	a := directory.Endpoint{Registration: directory.Registration{ID: "a", Address: "addr-a"}}
	b := directory.Endpoint{Registration: directory.Registration{ID: "b", Address: "addr-b"}}
	moved := directory.Endpoint{Registration: directory.Registration{ID: "c", Address: "addr-a"}}
	lapsed := a
	lapsed.Lapsed = true
	enough, scarce := ConnectionBudget{Connections: 120, VMs: 6}, ConnectionBudget{Connections: 120, VMs: 195}
	tests := []struct {
		name   string
		budget ConnectionBudget
		unused bool
		views  [][]directory.Endpoint
		// want lists the addresses connected to after each view.
		want [][]unit.Address
	}{
		{"new endpoints", enough, false, [][]directory.Endpoint{{a}, {a, b}}, [][]unit.Address{{"addr-a"}, {"addr-b"}}},
		{"once only", enough, false, [][]directory.Endpoint{{a}, {a}, {a}}, [][]unit.Address{{"addr-a"}, nil, nil}},
		{"another endpoint at the address", enough, false, [][]directory.Endpoint{{a}, {moved}}, [][]unit.Address{{"addr-a"}, {"addr-a"}}},
		{"one that has come back", enough, false, [][]directory.Endpoint{{a}, {}, {a}}, [][]unit.Address{{"addr-a"}, nil, {"addr-a"}}},
		{"none without a registration", enough, false, [][]directory.Endpoint{{lapsed}}, [][]unit.Address{nil}},
		{"none that this VM does not use", enough, true, [][]directory.Endpoint{{a}}, [][]unit.Address{nil}},
		{"none where connections are scarce", scarce, false, [][]directory.Endpoint{{a}}, [][]unit.Address{nil}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &Warmup{Rand: func() float64 { return 0.5 }}
			for i, view := range tt.views {
				plan := w.Plan(
					func(unit.ServiceName) bool { return !tt.unused },
					func(unit.ServiceName) ConnectionBudget { return tt.budget },
					map[unit.ServiceName][]directory.Endpoint{"s": view},
				)
				var got []unit.Address
				for _, c := range plan {
					got = append(got, c.Address)
					assert.Equal(t, c.After, 30*time.Millisecond)
				}
				assert.DeepEqual(t, got, tt.want[i])
			}
		})
	}
}
