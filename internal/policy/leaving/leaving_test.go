package leaving

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// configured returns a configuration with the given endpoints.
func configured(endpoints ...catalog.Endpoint) *catalog.Catalog {
	search := &catalog.Search{Name: "s", Endpoints: endpoints}
	return &catalog.Catalog{Searches: map[unit.SearchName]*catalog.Search{"s": search}}
}

// endpoint returns endpoint "e" as a configuration describes it.
func endpoint(inc unit.Incarnation, address unit.Address, leaving bool) catalog.Endpoint {
	return catalog.Endpoint{ID: "e", Incarnation: inc, Address: address, Leaving: leaving}
}

// step is one input of a set: a configuration or sign if given, otherwise a list. want is whether endpoint "e" is
// leaving afterwards.
type step struct {
	configure *catalog.Catalog
	sign      *Sign
	list      []unit.EndpointID
	want      bool
}

// TestAnySignKeepsEndpointLeaving checks that any source makes an endpoint leave, and that only the configuration makes
// it eligible again.
func TestAnySignKeepsEndpointLeaving(t *testing.T) {
	drained := &Sign{Endpoint: "e", Address: "10.0.0.1:1"}
	tests := []struct {
		name  string
		steps []step
	}{
		{"the configuration marks the endpoint and clears the mark", []step{
			{configure: configured(endpoint(0, "10.0.0.1:1", true)), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false)), want: false},
		}},
		{"a drain sign is kept through unrelated configuration changes", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false), catalog.Endpoint{ID: "f"}), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", true)), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false)), want: true},
		}},
		{"a higher incarnation clears the sign, and the old sign is ignored", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(1, "10.0.0.1:1", false)), want: false},
			{sign: drained, want: false},
		}},
		{"another address clears the sign", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(0, "10.0.0.2:1", false)), want: false},
			{sign: drained, want: false},
		}},
		{"a sign of an incarnation that is not configured yet", []step{
			{sign: &Sign{Endpoint: "e", Incarnation: 2, Address: "10.0.0.1:1"}, want: false},
			{configure: configured(endpoint(2, "10.0.0.1:1", false)), want: true},
		}},
		{"a list that lags neither excludes the next incarnation nor clears a sign", []step{
			{list: []unit.EndpointID{"e"}, want: true},
			{list: nil, want: true},
			{list: []unit.EndpointID{"e"}, want: true},
			{configure: configured(endpoint(1, "10.0.0.1:1", false)), want: false},
			{list: []unit.EndpointID{"e"}, want: false},
		}},
		{"a sign for an unknown endpoint", []step{
			{sign: &Sign{Endpoint: "x", Address: "10.0.0.1:1"}, want: false},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := New()
			set.Configure(configured(endpoint(0, "10.0.0.1:1", false)))
			for i, s := range tt.steps {
				switch {
				case s.configure != nil:
					set.Configure(s.configure)
				case s.sign != nil:
					set.Add(*s.sign)
				default:
					set.ApplyList(s.list)
				}
				assert.Equal(t, set.Leaving()["e"], s.want, "step %d", i)
			}
		})
	}
}

// TestSetDropsSignsOfEarlierIncarnations guards against sending obsolete signs to other VMs: a configuration that makes
// an endpoint eligible again, or removes it, drops its sign.
func TestSetDropsSignsOfEarlierIncarnations(t *testing.T) {
	tests := []struct {
		name string
		next *catalog.Catalog
		want int
	}{
		{"unchanged", configured(endpoint(1, "10.0.0.1:1", false)), 1},
		{"a higher incarnation", configured(endpoint(2, "10.0.0.1:1", false)), 0},
		{"another address", configured(endpoint(1, "10.0.0.2:1", false)), 0},
		{"removed", configured(), 0},
	}
	for _, tt := range tests {
		set := New()
		set.Configure(configured(endpoint(1, "10.0.0.1:1", false)))
		set.Add(Sign{Endpoint: "e", Incarnation: 1, Address: "10.0.0.1:1"})
		set.Configure(tt.next)
		assert.Equal(t, len(set.Signs()), tt.want, tt.name)
	}
}

// TestSetIgnoresOrder adds the same signs to two sets with the same configuration in different orders, to the second
// set with one sign repeated: both sets end equal, and no sign makes a leaving endpoint eligible again.
func TestSetIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signs := rapid.SliceOfN(drawSign(), 1, 20).Draw(t, "signs")
		reordered := rapid.Permutation(append(append([]Sign(nil), signs...), signs[0])).Draw(t, "again")
		a, b := New(), New()
		for _, set := range []*Set{a, b} {
			set.Configure(configured(endpoint(1, "10.0.0.1:1", false)))
		}
		for _, sign := range signs {
			before := a.Leaving()["e"]
			a.Add(sign)
			if before && !a.Leaving()["e"] {
				t.Fatalf("sign %v made a leaving endpoint eligible again", sign)
			}
		}
		for _, sign := range reordered {
			b.Add(sign)
		}
		assert.DeepEqual(t, a.Signs(), b.Signs())
		assert.DeepEqual(t, a.Leaving(), b.Leaving())
	})
}

// drawSign returns random signs of a configured and an unknown endpoint.
func drawSign() *rapid.Generator[Sign] {
	return rapid.Custom(func(t *rapid.T) Sign {
		return Sign{
			Endpoint:    rapid.SampledFrom([]unit.EndpointID{"e", "x"}).Draw(t, "endpoint"),
			Incarnation: unit.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			Address:     rapid.SampledFrom([]unit.Address{"10.0.0.1:1", "10.0.0.2:1"}).Draw(t, "address"),
		}
	})
}
