package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestMatch checks that a request matches the longest prefix of its host.
func TestMatch(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	tests := []struct {
		name string
		host unit.HostName
		path string
		want unit.RouteName
	}{
		{"only the short prefix matches", "a.example", "/x/1", "short"},
		{"the longest prefix", "a.example", "/x/y/1", "long"},
		{"the path equals the prefix", "a.example", "/x/", "short"},
		{"the path lacks the prefix's final slash", "a.example", "/x", ""},
		{"the path lacks the longer prefix's final slash", "a.example", "/x/y", "short"},
		{"another host", "b.example", "/x/y/1", "other"},
		{"unknown host", "c.example", "/x/1", ""},
		{"no prefix matches", "a.example", "/z/1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got unit.RouteName
			if r := table.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestSplitter checks that each service of a split receives its share, even over few requests.
func TestSplitter(t *testing.T) {
	tests := []struct {
		name  string
		split []WeightedService
		n     int
		want  map[unit.ServiceName]int
	}{
		{"one service", []WeightedService{{"a", 1}}, 5, map[unit.ServiceName]int{"a": 5}},
		{"equal weights", []WeightedService{{"a", 1}, {"b", 1}}, 10, map[unit.ServiceName]int{"a": 5, "b": 5}},
		{"unequal weights", []WeightedService{{"a", 9}, {"b", 1}}, 20, map[unit.ServiceName]int{"a": 18, "b": 2}},
		{"fractions", []WeightedService{{"a", 0.75}, {"b", 0.25}}, 8, map[unit.ServiceName]int{"a": 6, "b": 2}},
		{"a weight of 0 gets no requests", []WeightedService{{"a", 0}, {"b", 3}}, 6, map[unit.ServiceName]int{"b": 6}},
		{"a zero weight first", []WeightedService{{"a", 0}, {"b", 1}, {"c", 1}}, 4, map[unit.ServiceName]int{"b": 2, "c": 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Splitter
			got := make(map[unit.ServiceName]int)
			for range tt.n {
				got[s.Pick(1, &Route{Name: "r", Split: tt.split})]++
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestSplitterOddRoutes checks routes that a table should not have: without a service, or with the name of another route.
func TestSplitterOddRoutes(t *testing.T) {
	two := []WeightedService{{"a", 1}, {"b", 1}}
	three := []WeightedService{{"c", 1}, {"d", 1}, {"e", 1}}
	tests := []struct {
		name   string
		routes []*Route
		want   []unit.ServiceName
	}{
		{"no service", []*Route{{Name: "r"}, {Name: "r"}}, []unit.ServiceName{"", ""}},
		{
			"one name, two prefixes",
			[]*Route{{Name: "r", Prefix: "/a/", Split: two}, {Name: "r", Prefix: "/b/", Split: three}, {Name: "r", Prefix: "/a/", Split: two}},
			[]unit.ServiceName{"a", "c", "b"},
		},
		{
			"one name, host and prefix",
			[]*Route{{Name: "r", Split: two}, {Name: "r", Split: three}, {Name: "r", Split: three}, {Name: "r", Split: two}},
			[]unit.ServiceName{"a", "c", "d", "a"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s Splitter
			for i, r := range tt.routes {
				assert.Equal(t, s.Pick(1, r), tt.want[i])
			}
		})
	}
}

// TestSplitterNewTable checks that the current weights of an older table, which may have other weights, are discarded.
func TestSplitterNewTable(t *testing.T) {
	var s Splitter
	s.Pick(1, &Route{Name: "r", Split: []WeightedService{{"a", 1}, {"b", 1}}})
	got := s.Pick(2, &Route{Name: "r", Split: []WeightedService{{"a", 1}, {"b", 1}, {"c", 5}}})
	assert.Equal(t, got, unit.ServiceName("c"))
}
