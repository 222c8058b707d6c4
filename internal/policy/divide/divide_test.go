package divide

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// TestPlan checks into which portions a request is divided, and which VM serves each of them.
func TestPlan(t *testing.T) {
	even := newCandidates(1, 1, 1, 1)
	tests := []struct {
		name       string
		shards     int
		candidates []Candidate
		do         func(tr *Tracker)
		// want lists the portions as "first-end node", as planned by n0.
		want []string
	}{
		{"few shards", 20, even, nil, []string{"0-20 self"}},
		{"few VMs", 90, newCandidates(1, 1, 1), nil, []string{"0-90 self"}},
		{"no VMs known", 90, nil, nil, []string{"0-90 self"}},
		{"two groups", 90, even, nil, []string{"0-45 self", "45-90 n1"}},
		{"the more powerful VM of each group", 90, newCandidates(0.2, 0.2, 0.8, 0.8), nil, []string{"0-45 n2", "45-90 n3"}},
		{"a busy VM", 90, even, func(tr *Tracker) { tr.RecordSent("n1") }, []string{"0-45 self", "45-90 n3"}},
		{"a VM that has failed", 90, even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordEnd(start, "n1", true)
		}, []string{"0-45 self", "45-90 n3"}},
		{"a VM that failed long ago", 90, even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordEnd(start.Add(-time.Minute), "n1", true)
		}, []string{"0-45 self", "45-90 n1"}},
		{"a VM that failed repeatedly", 90, even, func(tr *Tracker) {
			for range 3 {
				tr.RecordSent("n1")
				tr.RecordEnd(start.Add(-5*time.Second), "n1", true)
			}
		}, []string{"0-45 self", "45-90 n3"}},
		{"a VM that has answered since", 90, even, func(tr *Tracker) {
			tr.RecordSent("n1")
			tr.RecordSent("n1")
			tr.RecordEnd(start, "n1", true)
			tr.RecordEnd(start, "n1", false)
		}, []string{"0-45 self", "45-90 n1"}},
		{"all VMs of a group have failed", 90, even, func(tr *Tracker) {
			tr.RecordEnd(start, "n1", true)
			tr.RecordEnd(start, "n3", true)
		}, []string{"0-45 self", "45-90 self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("n0", func() float64 { return 0 })
			if tt.do != nil {
				tt.do(tr)
			}
			var got []string
			for _, p := range tr.Plan(start, tt.shards, tt.candidates) {
				vm := string(p.VM.Node)
				if p.Local {
					vm = "self"
				}
				got = append(got, fmt.Sprintf("%d-%d %s", p.First, p.End, vm))
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestPlanCovers checks that the portions cover every shard exactly once, and that each remote portion goes to a VM
// that serves its shards for all requests.
func TestPlanCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newCandidates(make([]unit.Cores, rapid.IntRange(0, 20).Draw(t, "mates"))...)
		shards := rapid.IntRange(0, 300).Draw(t, "shards")
		next := 0
		for _, p := range New("n0", func() float64 { return 0.5 }).Plan(start, shards, all) {
			if p.First != next || p.End < p.First {
				t.Fatalf("portion [%d, %d) does not start at shard %d", p.First, p.End, next)
			}
			next = p.End
			for s := p.First; s < p.End; s++ {
				if !p.Local && !Serves(p.VM.Node, all, shards, s) {
					t.Fatalf("%s does not serve shard %d", p.VM.Node, s)
				}
			}
		}
		if next != shards {
			t.Fatalf("portions cover %d of %d shards", next, shards)
		}
	})
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
