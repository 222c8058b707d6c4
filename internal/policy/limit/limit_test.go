package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/rank"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = 5 * time.Millisecond

func settings(ceiling int) Settings {
	return Settings{Ceiling: ceiling, Slots: 2, MaxWaiting: 64, Ranks: map[unit.RankName]rank.Rank{
		"desk": {Urgency: 1, Floor: 0.2}, "member": {Urgency: 2, Floor: 0.15}, "upkeep": {Urgency: 3, Floor: 0.1},
	}}
}

func ticket(id uint64, name unit.RankName) rank.Ticket {
	return rank.Ticket{ID: id, Rank: name, Deadline: start.Add(time.Hour)}
}

// warm returns a queue that has reached its ceiling.
func warm(ceiling int) *Queue {
	q := New(settings(ceiling))
	for i := range 64 {
		q.Offer(start, ticket(uint64(i), "desk"))
	}
	for q.inFlight > 0 {
		q.Done(start, unit.CodeWhole, service)
	}
	return q
}

// TestLimitFollowsOutcomes checks how the limit follows the result codes of calls.
func TestLimitFollowsOutcomes(t *testing.T) {
	tests := []struct {
		name string
		// codes are the results of calls that end one after another while more calls wait.
		codes []unit.Code
		want  int
	}{
		{"a new endpoint gets one call", nil, 1},
		{"a successful reply raises the limit", []unit.Code{100}, 2},
		{"the limit grows up to the ceiling", []unit.Code{100, 100, 100, 100, 100, 100, 100, 100, 100, 100}, 3},
		{"a refusal lowers the limit", []unit.Code{100, 100, 100, 100, 100, 100, 100, 210}, 2},
		{"a draining endpoint lowers the limit to one", []unit.Code{100, 100, 100, 100, 100, 100, 100, 212}, 1},
		{"a failed connection lowers the limit to one", []unit.Code{100, 100, 100, 100, 100, 100, 100, 213}, 1},
		{"a missed deadline leaves the limit unchanged", []unit.Code{100, 100, 100, 100, 100, 100, 100, 300}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(settings(3))
			now := start
			for i := range 40 {
				q.Offer(now, ticket(uint64(i), "desk"))
			}
			for _, code := range tt.codes {
				now = now.Add(service)
				q.Done(now, code, service)
			}
			assert.Equal(t, q.Limit(), tt.want)
		})
	}
}

// TestLimitNeverFallsBelowSlotsBySlowness checks that a long series of slow replies lowers the limit to the endpoint's
// slots and no further.
func TestLimitNeverFallsBelowSlotsBySlowness(t *testing.T) {
	q := warm(4)
	now := start
	for i := range 200 {
		q.Offer(now, ticket(uint64(1000+i), "desk"))
	}
	for range 100 {
		now = now.Add(10 * service)
		q.Done(now, unit.CodeWhole, 10*service)
	}
	assert.Equal(t, q.Limit(), 2)
}

// TestFloorsHoldAtTheEndpoint floods the queue with one rank and counts the calls that another rank still gets.
func TestFloorsHoldAtTheEndpoint(t *testing.T) {
	tests := []struct {
		name  string
		flood unit.RankName
		other unit.RankName
		// minCalls is the minimum number of the 1,000 calls that other gets.
		minCalls int
	}{
		{"most urgent floods", "desk", "upkeep", 99},
		{"most urgent floods", "desk", "member", 149},
		{"least urgent floods", "upkeep", "desk", 900},
	}
	for _, tt := range tests {
		t.Run(tt.name+", "+string(tt.other), func(t *testing.T) {
			q := warm(3)
			got := make(map[unit.RankName]int)
			var id uint64 = 1000
			count := func(decisions []rank.Decision) {
				for _, v := range decisions {
					if v.Code == unit.CodeWhole {
						got[v.Ticket.Rank]++
					}
				}
			}
			for range 1000 {
				for _, name := range []unit.RankName{tt.flood, tt.other} {
					for q.waiting.Waiting(name) < 4 {
						id++
						count(q.Offer(start, ticket(id, name)))
					}
				}
				count(q.Done(start, unit.CodeWhole, service))
			}
			assert.Assert(t, got[tt.other] >= tt.minCalls, "%s got %d", tt.other, got[tt.other])
		})
	}
}

// TestDeadlineRefusal checks that a call is rejected if its deadline leaves less than the service time, but not
// because of the calls ahead of it.
func TestDeadlineRefusal(t *testing.T) {
	tests := []struct {
		name string
		left time.Duration
		// ahead is the number of calls of the rank that are already waiting.
		ahead int
		want  unit.Code
	}{
		{"past", -time.Millisecond, 0, unit.CodeTooLate},
		{"less than a service time", 4 * time.Millisecond, 0, unit.CodeTooLate},
		{"enough", 100 * time.Millisecond, 0, 0},
		{"less than a service time with calls ahead", 4 * time.Millisecond, 30, unit.CodeTooLate},
		{"calls ahead alone do not cause a rejection", 100 * time.Millisecond, 30, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := warm(3)
			now := start
			for i := range 3 + tt.ahead + 20 {
				q.Offer(now, ticket(uint64(1000+i), "desk"))
			}
			for range 20 {
				now = now.Add(service)
				q.Done(now, unit.CodeWhole, service)
			}
			decisions := q.Offer(now, rank.Ticket{ID: 5000, Rank: "desk", Deadline: now.Add(tt.left)})
			var got unit.Code
			for _, v := range decisions {
				if v.Ticket.ID == 5000 {
					got = v.Code
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestLateCallIsRejectedAtQueueHead lets a call wait until it has too little time left. It must be rejected when it
// reaches the head of the queue, and the next call, which has enough time, must run in its place.
func TestLateCallIsRejectedAtQueueHead(t *testing.T) {
	q := warm(3)
	for i := range 3 {
		q.Offer(start, ticket(uint64(1000+i), "desk"))
	}
	q.Offer(start, rank.Ticket{ID: 2000, Rank: "desk", Deadline: start.Add(100 * time.Millisecond)})
	q.Offer(start, ticket(2001, "desk"))
	decisions := q.Done(start.Add(98*time.Millisecond), unit.CodeWhole, service)
	assert.Equal(t, len(decisions), 2)
	assert.Equal(t, decisions[0].Code, unit.CodeTooLate)
	assert.Equal(t, decisions[0].Ticket.ID, uint64(2000))
	assert.Equal(t, decisions[1].Code, unit.CodeWhole)
	assert.Equal(t, decisions[1].Ticket.ID, uint64(2001))
}

// TestIdleEndpointIgnoresOldServiceTime checks that one slow call does not make an idle endpoint reject every later
// call as too late.
func TestIdleEndpointIgnoresOldServiceTime(t *testing.T) {
	q := New(settings(3))
	q.Offer(start, ticket(1, "desk"))
	q.Done(start, unit.CodeWhole, time.Hour)
	decisions := q.Offer(start, rank.Ticket{ID: 2, Rank: "desk", Deadline: start.Add(time.Second)})
	assert.Equal(t, decisions[0].Code, unit.CodeWhole)
}

// TestSlotsAreNeverOverrun applies random operations to the queue. The calls in flight never exceed the ceiling, each
// call gets at most one decision, and a withdrawn call gets none.
func TestSlotsAreNeverOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.IntRange(1, 4).Draw(t, "ceiling")
		q := New(settings(ceiling))
		codes := []unit.Code{unit.CodeWhole, unit.CodeRefused, unit.CodeDeadline, unit.CodeNotConnected}
		names := []unit.RankName{"desk", "member", "upkeep"}
		now := start
		decided := make(map[uint64]bool)
		inFlight := 0
		record := func(decisions []rank.Decision) {
			for _, v := range decisions {
				assert.Assert(t, !decided[v.Ticket.ID], "second decision for a call")
				decided[v.Ticket.ID] = true
				if v.Code == unit.CodeWhole {
					assert.Assert(t, now.Before(v.Ticket.Deadline))
					inFlight++
				}
			}
		}
		var next uint64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
			before := inFlight
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				next++
				left := time.Duration(rapid.IntRange(-1, 100).Draw(t, "left")) * time.Millisecond
				name := rapid.SampledFrom(names).Draw(t, "rank")
				record(q.Offer(now, rank.Ticket{ID: next, Rank: name, Deadline: now.Add(left)}))
			case 2, 3:
				if inFlight > 0 {
					inFlight--
					code := rapid.SampledFrom(codes).Draw(t, "code")
					record(q.Done(now, code, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond))
				}
			default:
				id := rapid.Uint64Range(0, next).Draw(t, "id")
				if q.Withdraw(id) {
					assert.Assert(t, !decided[id])
					decided[id] = true
				}
			}
			assert.Equal(t, q.InFlight(), inFlight)
			assert.Assert(t, inFlight <= ceiling || inFlight <= before, "%d calls in flight, ceiling %d", inFlight, ceiling)
		}
	})
}
