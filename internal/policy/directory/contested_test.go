package directory

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestContestedAddresses guards against registrations of services that no table names, which hid the endpoints at their
// addresses, so that nothing was served.
func TestContestedAddresses(t *testing.T) {
	of := func(service unit.ServiceName, id unit.EndpointID, revision unit.Revision) Registration {
		r := reg(id, "1", revision)
		r.Service = service
		return r
	}
	tests := []struct {
		name string
		all  []Registration
		// want lists the ids that may receive requests, with "?" after those that are contested.
		want []string
	}{
		{"one registration", []Registration{of("s", "a", 1)}, []string{"a"}},
		{"a newer one of a named service", []Registration{of("s", "a", 1), of("t", "b", 2)}, []string{"b"}},
		{"a newer one of another service", []Registration{of("s", "a", 1), of("x", "b", 2)}, []string{"a?", "b"}},
		{"an older one of another service", []Registration{of("s", "a", 2), of("x", "b", 1)}, []string{"a"}},
		{
			"a named service between",
			[]Registration{of("s", "a", 1), of("t", "b", 2), of("x", "c", 3)},
			[]string{"b?", "c"},
		},
		{
			"another service between",
			[]Registration{of("s", "a", 1), of("x", "b", 2), of("t", "c", 3)},
			[]string{"c"},
		},
		{
			"two other services",
			[]Registration{of("s", "a", 1), of("x", "b", 2), of("y", "c", 3)},
			[]string{"a?", "c"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(0)
			d.Named = func(s unit.ServiceName) bool { return s == "s" || s == "t" }
			d.Replace(at(0), 0, tt.all)
			var got []string
			for _, endpoints := range d.Endpoints() {
				for _, e := range endpoints {
					text := string(e.ID)
					if e.Contested {
						text += "?"
					}
					got = append(got, text)
				}
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
