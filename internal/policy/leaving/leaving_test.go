package leaving

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

func configured(endpoints ...catalog.Endpoint) *catalog.Catalog {
	search := &catalog.Search{Name: "s", Endpoints: endpoints}
	return &catalog.Catalog{Searches: map[unit.SearchName]*catalog.Search{"s": search}}
}

func endpoint(inc unit.Incarnation, address unit.Address, leaving bool) catalog.Endpoint {
	return catalog.Endpoint{ID: "e", Incarnation: inc, Address: address, Leaving: leaving}
}

// step is one thing that happens to a set; want is whether endpoint "e" gets no new work after it.
type step struct {
	configure *catalog.Catalog
	sign      *Sign
	list      []unit.EndpointID
	want      bool
}

func TestAnySignKeepsEndpointLeaving(t *testing.T) {
	drained := &Sign{Endpoint: "e", Address: "10.0.0.1:1"}
	tests := []struct {
		name  string
		steps []step
	}{
		{"the configuration takes out and brings back", []step{
			{configure: configured(endpoint(0, "10.0.0.1:1", true)), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false)), want: false},
		}},
		{"a drain sign outlasts other changes of the configuration", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false), catalog.Endpoint{ID: "f"}), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", true)), want: true},
			{configure: configured(endpoint(0, "10.0.0.1:1", false)), want: true},
		}},
		{"a higher incarnation brings it back, and the earlier sign is passed over", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(1, "10.0.0.1:1", false)), want: false},
			{sign: drained, want: false},
		}},
		{"another address brings it back", []step{
			{sign: drained, want: true},
			{configure: configured(endpoint(0, "10.0.0.2:1", false)), want: false},
			{sign: drained, want: false},
		}},
		{"a sign of a life that is not configured yet", []step{
			{sign: &Sign{Endpoint: "e", Incarnation: 2, Address: "10.0.0.1:1"}, want: false},
			{configure: configured(endpoint(2, "10.0.0.1:1", false)), want: true},
		}},
		{"a list that lags takes out no later life and revives none", []step{
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

// TestSetDropsSignsOfEarlierIncarnations has a configuration bring endpoints back: their signs are no longer passed on.
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

// TestSetIgnoresOrder gives two nodes with the same configuration the same signs in different orders and more than once:
// both end alike, and no sign is taken back.
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
				t.Fatalf("the sign %v took a leaving endpoint back", sign)
			}
		}
		for _, sign := range reordered {
			b.Add(sign)
		}
		assert.DeepEqual(t, a.Signs(), b.Signs())
		assert.DeepEqual(t, a.Leaving(), b.Leaving())
	})
}

func drawSign() *rapid.Generator[Sign] {
	return rapid.Custom(func(t *rapid.T) Sign {
		return Sign{
			Endpoint:    rapid.SampledFrom([]unit.EndpointID{"e", "x"}).Draw(t, "endpoint"),
			Incarnation: unit.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			Address:     rapid.SampledFrom([]unit.Address{"10.0.0.1:1", "10.0.0.2:1"}).Draw(t, "address"),
		}
	})
}
