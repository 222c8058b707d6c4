package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

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
		{"the only prefix", "a.example", "/x/1", "short"},
		{"the longest prefix", "a.example", "/x/y/1", "long"},
		{"the prefix itself", "a.example", "/x/", "short"},
		{"a prefix ends with its slash", "a.example", "/x", ""},
		{"the longer prefix without its slash", "a.example", "/x/y", "short"},
		{"another host", "b.example", "/x/y/1", "other"},
		{"no host", "c.example", "/x/1", ""},
		{"no prefix", "a.example", "/z/1", ""},
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

// TestSplitter checks that each service of a split gets its portion, also over few requests.
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
		{"no weight, no requests", []WeightedService{{"a", 0}, {"b", 3}}, 6, map[unit.ServiceName]int{"b": 6}},
		{"a nil weight first", []WeightedService{{"a", 0}, {"b", 1}, {"c", 1}}, 4, map[unit.ServiceName]int{"b": 2, "c": 2}},
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

// TestSplitterNewTable checks that turns of an older table, which may have other weights, are not used.
func TestSplitterNewTable(t *testing.T) {
	var s Splitter
	s.Pick(1, &Route{Name: "r", Split: []WeightedService{{"a", 1}, {"b", 1}}})
	got := s.Pick(2, &Route{Name: "r", Split: []WeightedService{{"a", 1}, {"b", 1}, {"c", 5}}})
	assert.Equal(t, got, unit.ServiceName("c"))
}
