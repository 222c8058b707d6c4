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

func caller(node unit.NodeID, centre unit.CentreName) divide.Candidate {
	return divide.Candidate{Node: node, Centre: centre}
}

// TestCandidates checks that a seed lists the most powerful VMs of each data centre, that seeds which know the same VMs
// list them in the same order, and that the list stays small.
func TestCandidates(t *testing.T) {
	tests := []struct {
		name string
		// centres is the number of data centres, and perCentre the VMs of each, of which every tenth is large.
		centres, perCentre int
		// want is the number of candidates of each data centre.
		want int
	}{
		{"alone", 1, 1, 1},
		{"a few VMs", 4, 2, 2},
		{"many VMs", 6, 30, 6},
		{"many VMs of one data centre", 1, 100, 36},
		{"many data centres", 30, 20, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, other := New(start, "self"), New(start, "other")
			var all []divide.Candidate
			for centre := range tt.centres {
				for i := range tt.perCentre {
					vm := caller(unit.NodeID(fmt.Sprint("n", centre, "-", i)), unit.CentreName(fmt.Sprint("z", centre)))
					vm.Power = 0.2
					if i%10 == 9 {
						vm.Power = 0.8
					}
					all = append(all, vm)
					c.RecordCall(start, vm)
				}
			}
			for _, vm := range slices.Backward(all) {
				other.RecordCall(start.Add(time.Second), vm)
			}
			got := c.Candidates(start)
			assert.DeepEqual(t, got, other.Candidates(start))
			counts, large := make(map[unit.CentreName]int), make(map[unit.CentreName]int)
			for _, vm := range got {
				counts[vm.Centre]++
				if vm.Power == 0.8 {
					large[vm.Centre]++
				}
			}
			assert.Equal(t, len(counts), tt.centres)
			for centre, n := range counts {
				assert.Equal(t, n, tt.want)
				assert.Equal(t, large[centre], min(tt.perCentre/10, tt.want))
			}
		})
	}
}

// TestCandidatesAfterLeave checks that a VM which is stopping is no candidate from then on.
func TestCandidatesAfterLeave(t *testing.T) {
	c := New(start, "self")
	c.RecordCall(start, caller("a", "z"))
	c.RecordCall(start, caller("b", "z"))
	assert.Equal(t, len(c.Candidates(start)), 2)
	c.RemoveCaller("a")
	assert.DeepEqual(t, c.Candidates(start), []divide.Candidate{caller("b", "z")})
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
