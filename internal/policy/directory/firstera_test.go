package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestFirstListingIsNoRestore guards against the grace of an outage for registrations that vanish after a VM has started.
func TestFirstListingIsNoRestore(t *testing.T) {
	tests := []struct {
		name string
		era  unit.Era
	}{
		{"never restored", 0},
		{"restored before the start", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(4000)
			r := Registration{
				Position: unit.Position{Era: tt.era, Revision: 1}, ID: "a", Service: "s", Address: "10.0.0.1:80",
			}
			d.Replace(at(0), tt.era, []Registration{r})
			d.Remove(at(1000), "a", unit.Position{Era: tt.era, Revision: 2}, false)
			endpoints := d.Endpoints()["s"]
			assert.Equal(t, len(endpoints), 1)
			assert.Assert(t, endpoints[0].Lapsed)
		})
	}
}
