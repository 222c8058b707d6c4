package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

func TestGateServesUrgentFirst(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := New(Settings{Running: 1, Waiting: 2, Ranks: map[unit.RankName]Rank{
		"desk": {Urgency: 1}, "upkeep": {Urgency: 3},
	}})
	late := start.Add(time.Minute)
	steps := []struct {
		name string
		do   func() []Verdict
		want []Verdict
	}{
		{
			"the first runs",
			func() []Verdict { return g.Offer(start, Ticket{ID: 1, Rank: "upkeep", Deadline: late}) },
			[]Verdict{{Ticket{ID: 1, Rank: "upkeep", Deadline: late}, unit.CodeWhole}},
		},
		{
			"the second waits",
			func() []Verdict { return g.Offer(start, Ticket{ID: 2, Rank: "upkeep", Deadline: late}) },
			nil,
		},
		{
			"so does the urgent one",
			func() []Verdict { return g.Offer(start, Ticket{ID: 3, Rank: "desk", Deadline: late}) },
			nil,
		},
		{
			"the urgent one is next",
			func() []Verdict { return g.Done(start) },
			[]Verdict{{Ticket{ID: 3, Rank: "desk", Deadline: late}, unit.CodeWhole}},
		},
	}
	for _, step := range steps {
		assert.DeepEqual(t, step.do(), step.want)
	}
}
