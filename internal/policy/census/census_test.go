package census

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/divide"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestEstimate(t *testing.T) {
	type count struct {
		after   time.Duration
		n       int
		settled bool
	}
	tests := []struct {
		name string
		told []count
		want int
	}{
		{"nothing told", nil, InitialEstimate},
		{"told", []count{{0, 6, true}}, 6},
		{"more", []count{{0, 6, true}, {time.Second, 7, true}}, 7},
		{"a seed that has just started", []count{{0, 6, false}}, InitialEstimate},
		{"a seed that has just started and has many callers already", []count{{0, 59, false}}, 59},
		{"a seed that knows fewer", []count{{0, 6, true}, {time.Second, 2, true}}, 6},
		{"fewer for long", []count{{0, 6, true}, {9 * time.Second, 5, true}}, 5},
		{"fewer for long at a seed that has just started", []count{{0, 6, true}, {9 * time.Second, 5, false}}, 6},
		{"one seed still counts as many", []count{{0, 6, true}, {7 * time.Second, 6, true}, {9 * time.Second, 5, true}}, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			for _, told := range tt.told {
				c.RecordCount(start.Add(told.after), told.n, told.settled)
			}
			assert.Equal(t, c.Estimate(), tt.want)
		})
	}
}

func TestCount(t *testing.T) {
	tests := []struct {
		name    string
		heard   map[unit.NodeID]time.Duration
		after   time.Duration
		want    int
		settled bool
	}{
		{"alone at the start", nil, 0, 1, false},
		{"alone for a while", nil, 5 * time.Second, 1, true},
		{"others", map[unit.NodeID]time.Duration{"a": time.Second, "b": 2 * time.Second}, 5 * time.Second, 3, true},
		{"itself counts once", map[unit.NodeID]time.Duration{"self": time.Second}, 5 * time.Second, 1, true},
		{"one that is silent", map[unit.NodeID]time.Duration{"a": 0, "b": 6 * time.Second}, 7 * time.Second, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			for node, after := range tt.heard {
				c.RecordCall(start.Add(after), caller(node, "z"))
			}
			n, settled := c.Count(start.Add(tt.after))
			assert.Equal(t, n, tt.want)
			assert.Equal(t, settled, tt.settled)
		})
	}
}

func caller(node unit.NodeID, centre unit.CentreName) Caller {
	return Caller{Candidate: divide.Candidate{Node: node}, Centre: centre}
}

// TestMates checks that VMs share requests within their data centre, that those of one cell agree about it, and that a
// cell stays of a size that a seed can tell.
func TestMates(t *testing.T) {
	tests := []struct {
		name        string
		near, far   int
		least, most int
	}{
		{"alone", 1, 5, 1, 1},
		{"a few", 5, 5, 5, 5},
		{"one cell", 16, 40, 16, 16},
		{"many cells", 400, 400, 3, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			var near []Caller
			for i := range tt.near {
				near = append(near, caller(unit.NodeID(fmt.Sprint("near", i)), "z"))
				c.RecordCall(start, near[i])
			}
			for i := range tt.far {
				c.RecordCall(start, caller(unit.NodeID(fmt.Sprint("far", i)), "y"))
			}
			for _, one := range near {
				mates := c.Candidates(one)
				assert.Assert(t, len(mates) >= tt.least && len(mates) <= tt.most, "%d mates", len(mates))
				assert.Assert(t, slices.Contains(mates, one.Candidate))
				assert.DeepEqual(t, c.Candidates(Caller{Candidate: mates[0], Centre: "z"}), mates)
			}
		})
	}
}

// TestPeriod checks that a seed's load stays bounded when there are many VMs.
// TestPause checks how soon a VM calls again, while it does not know the count and after.
func TestPause(t *testing.T) {
	tests := []struct {
		name  string
		told  bool
		after time.Duration
		want  time.Duration
	}{
		{"at the start", false, 100 * time.Millisecond, 150 * time.Millisecond},
		{"a while later", false, time.Second, 500 * time.Millisecond},
		{"once the count is known", true, 100 * time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			if tt.told {
				c.RecordCount(start, 6, true)
			}
			assert.Equal(t, c.NextCallDelay(start.Add(tt.after)), tt.want)
		})
	}
}

func TestPeriod(t *testing.T) {
	tests := []struct {
		vms  int
		want time.Duration
	}{
		{6, 2 * time.Second},
		{100, 2 * time.Second},
		{300, 6 * time.Second},
		{7900, 158 * time.Second},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.vms), func(t *testing.T) {
			c := New(start, "self")
			c.RecordCount(start, tt.vms, true)
			assert.Equal(t, c.Period(), tt.want)
		})
	}
}
