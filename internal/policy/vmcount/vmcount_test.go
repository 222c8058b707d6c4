package vmcount

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

// TestEstimate checks how the estimate follows the counts that seeds return.
func TestEstimate(t *testing.T) {
	type count struct {
		after   time.Duration
		n       int
		settled bool
	}
	tests := []struct {
		name   string
		counts []count
		want   int
	}{
		{"no count received", nil, InitialEstimate},
		{"told", []count{{0, 6, true}}, 6},
		{"more", []count{{0, 6, true}, {time.Second, 7, true}}, 7},
		{"low count of a seed that has just started", []count{{0, 6, false}}, InitialEstimate},
		{"high count of a seed that has just started", []count{{0, 59, false}}, 59},
		{"lower count soon after a higher one", []count{{0, 6, true}, {time.Second, 2, true}}, 6},
		{"lower counts for longer than shrinkAfter", []count{{0, 6, true}, {9 * time.Second, 5, true}}, 5},
		{"lower count for long, from a seed that has just started", []count{{0, 6, true}, {9 * time.Second, 5, false}}, 6},
		{"one seed confirms the estimate", []count{{0, 6, true}, {7 * time.Second, 6, true}, {9 * time.Second, 5, true}}, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			for _, received := range tt.counts {
				c.RecordCount(start.Add(received.after), received.n, received.settled)
			}
			assert.Equal(t, c.Estimate(), tt.want)
		})
	}
}

// TestCount checks that a seed counts itself once and every other VM that has called recently.
func TestCount(t *testing.T) {
	tests := []struct {
		name    string
		calls   map[unit.NodeID]time.Duration
		after   time.Duration
		want    int
		settled bool
	}{
		{"alone at the start", nil, 0, 1, false},
		{"alone for a while", nil, 5 * time.Second, 1, true},
		{"others", map[unit.NodeID]time.Duration{"a": time.Second, "b": 2 * time.Second}, 5 * time.Second, 3, true},
		{"its own call counts once", map[unit.NodeID]time.Duration{"self": time.Second}, 5 * time.Second, 1, true},
		{"a VM that stopped calling", map[unit.NodeID]time.Duration{"a": 0, "b": 6 * time.Second}, 7 * time.Second, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			for node, after := range tt.calls {
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

// TestCandidates checks that VMs share requests only within their data centre, that the VMs of a cell agree on its
// members, and that a cell stays small enough for a seed to list.
func TestCandidates(t *testing.T) {
	tests := []struct {
		name string
		// local and remote are the numbers of VMs in the data centre and in another one.
		local, remote int
		// minCount and maxCount bound the number of candidates.
		minCount, maxCount int
	}{
		{"alone", 1, 5, 1, 1},
		{"a few", 5, 5, 5, 5},
		{"one cell", 16, 40, 16, 16},
		{"many cells", 400, 400, 3, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			var local []Caller
			for i := range tt.local {
				local = append(local, caller(unit.NodeID(fmt.Sprint("near", i)), "z"))
				c.RecordCall(start, local[i])
			}
			for i := range tt.remote {
				c.RecordCall(start, caller(unit.NodeID(fmt.Sprint("far", i)), "y"))
			}
			for _, one := range local {
				candidates := c.Candidates(one)
				assert.Assert(t, len(candidates) >= tt.minCount && len(candidates) <= tt.maxCount, "%d candidates", len(candidates))
				assert.Assert(t, slices.Contains(candidates, one.Candidate))
				assert.DeepEqual(t, c.Candidates(Caller{Candidate: candidates[0], Centre: "z"}), candidates)
			}
		})
	}
}

// TestNextCallDelay checks how soon a VM calls again, before and after it has a settled count.
func TestNextCallDelay(t *testing.T) {
	tests := []struct {
		name    string
		settled bool
		after   time.Duration
		want    time.Duration
	}{
		{"at the start", false, 100 * time.Millisecond, 150 * time.Millisecond},
		{"a while later", false, time.Second, 500 * time.Millisecond},
		{"once the count is known", true, 100 * time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(start, "self")
			if tt.settled {
				c.RecordCount(start, 6, true)
			}
			assert.Equal(t, c.NextCallDelay(start.Add(tt.after)), tt.want)
		})
	}
}

// TestPeriod checks that the calls a seed receives stay bounded when there are many VMs.
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
