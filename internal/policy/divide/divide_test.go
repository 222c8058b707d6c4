package divide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// newCandidates returns VMs named "n0", "n1" and so on with these powers.
func newCandidates(powers ...unit.Cores) []Candidate {
	var all []Candidate
	for i, p := range powers {
		all = append(all, Candidate{Node: unit.NodeID(fmt.Sprint("n", i)), Power: p})
	}
	return all
}

// TestPlan checks which VM serves the portion of each group.
func TestPlan(t *testing.T) {
	even := newCandidates(1, 1, 1, 1)
	tests := []struct {
		name       string
		candidates []Candidate
		do         func(tr *Tracker)
		// want lists the VMs of two groups, as planned by n0. The first group has the even VMs, the second the odd ones.
		want []string
	}{
		{"all alike", even, nil, []string{"self", "n1"}},
		{"the more powerful VM of each group", newCandidates(0.2, 0.2, 0.8, 0.8), nil, []string{"n2", "n3"}},
		{"a busy VM", even, func(tr *Tracker) { tr.RecordSent("n1") }, []string{"self", "n3"}},
		{"a VM that has failed", even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordEnd(start, "n1", true)
		}, []string{"self", "n3"}},
		{"a VM that failed long ago", even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordEnd(start.Add(-time.Minute), "n1", true)
		}, []string{"self", "n1"}},
		{"a VM that failed repeatedly", even, func(tr *Tracker) {
			for range 3 {
				tr.RecordSent("n1")
				tr.RecordEnd(start.Add(-5*time.Second), "n1", true)
			}
		}, []string{"self", "n3"}},
		{"a VM that has answered since", even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordSent("n1")
			tr.RecordEnd(start, "n1", true)
			tr.RecordEnd(start, "n1", false)
		}, []string{"self", "n1"}},
		{"all VMs of a group have failed", even, func(tr *Tracker) {
			tr.RecordEnd(start, "n1", true)
			tr.RecordEnd(start, "n3", true)
		}, []string{"self", "self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("n0", func() float64 { return 0 })
			if tt.do != nil {
				tt.do(tr)
			}
			groups := []Group{
				{Shards: []int{0, 1}, VMs: []Candidate{tt.candidates[0], tt.candidates[2]}},
				{Shards: []int{2, 3}, VMs: []Candidate{tt.candidates[1], tt.candidates[3]}},
			}
			var got []string
			for i, p := range tr.Plan(start, groups) {
				assert.DeepEqual(t, p.Shards, groups[i].Shards)
				vm := string(p.VM.Node)
				if p.Local {
					vm = "self"
				}
				got = append(got, vm)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestRoundTrip checks that the estimate stays near the time that the network takes when some calls wait.
func TestRoundTrip(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		samples []time.Duration
		lower   time.Duration
		upper   time.Duration
	}{
		{"unknown", nil, 0, 0},
		{"steady", slices.Repeat([]time.Duration{3 * ms}, 10), 3 * ms, 3 * ms},
		{"the first call opens a connection", []time.Duration{50 * ms, 3 * ms}, 3 * ms, 3 * ms},
		{"some calls wait", slices.Repeat([]time.Duration{3 * ms, 3 * ms, 3 * ms, 30 * ms}, 10), 3 * ms, 5 * ms},
		{"a longer path", append([]time.Duration{3 * ms}, slices.Repeat([]time.Duration{9 * ms}, 60)...), 8 * ms, 9 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("n0", func() float64 { return 0 })
			for _, d := range tt.samples {
				tr.RecordRoundTrip("z", d)
			}
			got := tr.RoundTrip("z")
			assert.Assert(t, got >= tt.lower && got <= tt.upper, "round trip %v", got)
		})
	}
}

// TestCollector checks the verdict on a request, and what may be retried, after its portions have ended or timed out.
func TestCollector(t *testing.T) {
	// Each request has 10 shards, needs 8 of them, and has its partial deadline at 72 ms and its deadline at 392 ms.
	tests := []struct {
		name string
		// portions is how many are started.
		portions int
		do       func(c *Collector)
		now      time.Time
		verdict  gather.Verdict
		// retry and missing are the results of ShouldRetry and AllowRetryMissing.
		retry   bool
		missing bool
	}{
		{"in progress", 2, func(c *Collector) { c.RecordPortion(5) }, at(10), gather.VerdictNone, true, false},
		{"all shards answered", 2, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(5)
		}, at(10), gather.VerdictAnswered, false, false},
		{"enough shards, no portion pending", 2, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(3)
		}, at(10), gather.VerdictAnswered, false, false},
		{"enough shards at the partial deadline", 3, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(3)
		}, at(72), gather.VerdictAnswered, false, false},
		{"enough shards just before the partial deadline", 3, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(3)
		}, at(71), gather.VerdictNone, false, false},
		{"a portion that is lost early", 2, func(c *Collector) {
			c.RecordPortion(0)
		}, at(10), gather.VerdictNone, true, false},
		{"a portion that is lost late", 2, func(c *Collector) {
			c.RecordPortion(0)
		}, at(60), gather.VerdictNone, false, false},
		{"too few shards at the partial deadline, a portion pending", 2, func(c *Collector) {
			c.RecordPortion(5)
		}, at(72), gather.VerdictNone, false, false},
		{"too few shards, no portion pending", 2, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(2)
		}, at(10), gather.VerdictNone, true, true},
		{"too few shards after the retry", 2, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(2)
			c.AllowRetryMissing(at(10))
		}, at(11), gather.VerdictFailed, false, false},
		{"enough shards after the retry", 2, func(c *Collector) {
			c.RecordPortion(5)
			c.RecordPortion(2)
			c.AllowRetryMissing(at(10))
			c.AddPortion()
			c.RecordPortion(1)
		}, at(20), gather.VerdictAnswered, false, false},
		{"too few shards at the deadline", 2, func(c *Collector) {
			c.RecordPortion(5)
		}, at(392), gather.VerdictTimedOut, false, false},
		{"too few shards when this VM stops", 2, func(c *Collector) {
			c.AnswerBy = at(60)
			c.RecordPortion(5)
		}, at(60), gather.VerdictStopped, false, false},
		{"enough shards when this VM stops, a portion pending", 2, func(c *Collector) {
			c.AnswerBy = at(60)
			c.RecordPortion(8)
		}, at(60), gather.VerdictAnswered, false, false},
		{"too few shards, no portion pending, when this VM stops", 1, func(c *Collector) {
			c.AnswerBy = at(60)
			c.RecordPortion(5)
		}, at(60), gather.VerdictStopped, false, false},
		{"the caller has disconnected", 2, func(c *Collector) { c.Cancel() }, at(10), gather.VerdictGone, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Collector{Shards: 10, MinShare: 0.8, Started: start, PartialDeadline: at(72), Deadline: at(392)}
			for range tt.portions {
				c.AddPortion()
			}
			tt.do(c)
			assert.Equal(t, c.Verdict(tt.now), tt.verdict)
			assert.Equal(t, c.ShouldRetry(tt.now), tt.retry)
			assert.Assert(t, c.AnswerBy.IsZero() || !c.NextCheck(start).After(c.AnswerBy))
			assert.Equal(t, c.AllowRetryMissing(tt.now) && tt.verdict == gather.VerdictNone, tt.missing)
		})
	}
}
