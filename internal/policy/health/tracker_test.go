package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// resultWith returns the result of an attempt at "e1" that ended after 5 ms with this code.
func resultWith(code unit.Code) Result {
	return Result{Search: "s", Endpoint: "e1", Snapshot: 7, Code: code, Took: 5 * ms}
}

// recordAttempts records n attempts that end with this result.
func recordAttempts(tr *Tracker, now time.Time, n int, r Result) {
	for range n {
		tr.RecordSent(now, r.Endpoint)
		tr.RecordResult(now, r)
	}
}

// recordTypical makes 5 ms the typical latency of the search.
func recordTypical(tr *Tracker, now time.Time) {
	recordAttempts(tr, now, 100, Result{Search: "s", Endpoint: "e0", Snapshot: 7, Code: unit.CodeWhole, Took: 5 * ms})
}

func TestTrackerEjects(t *testing.T) {
	late := resultWith(unit.CodeDeadline)
	late.Took = time.Second
	tests := []struct {
		name    string
		result  Result
		times   int
		ejected bool
	}{
		{"two lost connections", resultWith(unit.CodeConnection), 2, false},
		{"three lost connections", resultWith(unit.CodeConnection), 3, true},
		{"three failed connects", resultWith(unit.CodeNotConnected), 3, true},
		{"three bad replies", resultWith(unit.CodeBadReply), 3, true},
		{"three errors", resultWith(unit.CodeEndpointError), 3, true},
		{"three long deadlines", late, 3, true},
		{"three short deadlines", resultWith(unit.CodeDeadline), 3, false},
		{"the endpoint is draining", resultWith(unit.CodeDraining), 1, true},
		{"refusals under load", resultWith(unit.CodeRefused), 9, false},
		{"cancelled attempts", resultWith(unit.CodeCancelled), 9, false},
		{"a missing snapshot", resultWith(unit.CodeSnapshotAbsent), 9, false},
		{"whole replies", resultWith(unit.CodeWhole), 9, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			recordTypical(tr, start)
			recordAttempts(tr, start, tt.times, tt.result)
			assert.Equal(t, tr.Condition(start, "s", "e1").Ejected, tt.ejected)
			assert.Equal(t, tr.Condition(start, "s", "e0").Ejected, false)
		})
	}
}

// TestTrackerReadmits checks the probation after an ejection: it admits one attempt at a time, a failure ejects the
// endpoint for twice as long as before, and three successes readmit it.
func TestTrackerReadmits(t *testing.T) {
	tr := New()
	ejected := func(after time.Duration) bool { return tr.Condition(start.Add(after), "s", "e1").Ejected }
	recordAttempts(tr, start, 3, resultWith(unit.CodeConnection))
	assert.Assert(t, ejected(999*ms))
	assert.Assert(t, !ejected(1000*ms))
	tr.RecordSent(start.Add(1000*ms), "e1")
	assert.Assert(t, ejected(1000*ms), "a second attempt on probation")
	tr.RecordResult(start.Add(1000*ms), resultWith(unit.CodeConnection))
	assert.Assert(t, ejected(2999*ms))
	assert.Assert(t, !ejected(3000*ms))
	recordAttempts(tr, start.Add(3000*ms), 2, resultWith(unit.CodeWhole))
	tr.RecordSent(start.Add(3000*ms), "e1")
	assert.Assert(t, ejected(3000*ms), "still on probation")
	tr.RecordResult(start.Add(3000*ms), resultWith(unit.CodeWhole))
	tr.RecordSent(start.Add(3000*ms), "e1")
	assert.Assert(t, !ejected(3000*ms), "readmitted")
}

// TestTrackerFailing checks that one failure marks an endpoint as failing until it answers, and that an ejection does
// so until the endpoint is readmitted.
func TestTrackerFailing(t *testing.T) {
	tests := []struct {
		name     string
		failed   int
		answered int
		failing  bool
	}{
		{"no failure", 0, 1, false},
		{"one failure", 1, 0, true},
		{"one failure and an answer", 1, 1, false},
		{"ejected and two answers", 3, 2, true},
		{"ejected and three answers", 3, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			recordAttempts(tr, start, tt.failed, resultWith(unit.CodeConnection))
			later := start.Add(initialEjection)
			recordAttempts(tr, later, tt.answered, resultWith(unit.CodeWhole))
			assert.Equal(t, tr.Condition(later, "s", "e1").Failing, tt.failing)
		})
	}
}

// TestReserveSharesBurst checks that a query doesn't take all saved tokens, so that concurrent queries each get some.
func TestReserveSharesBurst(t *testing.T) {
	tr := New()
	var got []int
	for range 4 {
		got = append(got, tr.Reserve(start, "s", 40).Allowance)
	}
	assert.DeepEqual(t, got, []int{20, 15, 12, 9})
}

// TestTrackerRemembersMissingSnapshots checks how long an endpoint that refused a snapshot is listed as lacking it, and
// that a whole reply ends that.
func TestTrackerRemembersMissingSnapshots(t *testing.T) {
	tr := New()
	missing := func(after time.Duration) int { return len(tr.Condition(start.Add(after), "s", "e1").MissingSnapshots) }
	recordAttempts(tr, start, 1, resultWith(unit.CodeSnapshotAbsent))
	assert.Equal(t, missing(999*ms), 1)
	assert.Equal(t, missing(1000*ms), 0)
	recordAttempts(tr, start.Add(1000*ms), 5, resultWith(unit.CodeSnapshotAbsent))
	assert.Equal(t, missing(2999*ms), 1)
	assert.Equal(t, missing(3000*ms), 0)
	recordAttempts(tr, start.Add(1000*ms), 1, resultWith(unit.CodeWhole))
	assert.Equal(t, missing(1000*ms), 0)
}

// TestTrackerForgetsSlowness checks that cancelled attempts raise an endpoint's latency, and that it decays so that
// the endpoint is tried again.
func TestTrackerForgetsSlowness(t *testing.T) {
	tr := New()
	recordTypical(tr, start)
	slow := resultWith(unit.CodeCancelled)
	slow.Took = 100 * ms
	recordAttempts(tr, start, 20, slow)
	latency := func(after time.Duration) time.Duration { return tr.Condition(start.Add(after), "s", "e1").Latency }
	assert.Assert(t, latency(0) > 90*ms)
	assert.Assert(t, latency(2*time.Second) < 60*ms)
	assert.Assert(t, latency(20*time.Second) < 7*ms)
	assert.Assert(t, latency(20*time.Second) >= 5*ms)
}

func TestReserve(t *testing.T) {
	type phase struct {
		took time.Duration
		// queries over 40 shards each are sent 10 ms apart and use all extra attempts that they may.
		queries int
	}
	tests := []struct {
		name   string
		phases []phase
		// minShare and maxShare bound the extra attempts of the last phase as a share of its first attempts.
		minShare, maxShare float64
	}{
		{"usual", []phase{{5 * ms, 500}, {5 * ms, 2000}}, 0.049, 0.0505},
		{"slow as a whole", []phase{{5 * ms, 500}, {50 * ms, 2000}}, 0, 0.01},
		{"fast again", []phase{{5 * ms, 500}, {50 * ms, 2000}, {5 * ms, 3000}}, 0.03, 0.0505},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			now := start
			share := 0.0
			for _, p := range tt.phases {
				used := 0
				for range p.queries {
					now = now.Add(10 * ms)
					used += tr.Reserve(now, "s", 40).Allowance
					recordAttempts(tr, now, 40, Result{Search: "s", Endpoint: "e0", Code: unit.CodeWhole, Took: p.took})
				}
				share = float64(used) / float64(40*p.queries)
			}
			assert.Assert(t, share >= tt.minShare && share <= tt.maxShare, "share %f", share)
		})
	}
}

// TestReserveHedgeAfter checks that the hedge delay is a high quantile of the latencies, so that only a few attempts
// are hedged, and that there is one before latencies are known: without it an endpoint that hangs blocks a new VM.
func TestReserveHedgeAfter(t *testing.T) {
	tests := []struct {
		name  string
		slow  int
		after time.Duration
	}{
		{"too little is known", -1, initialHedgeDelay},
		{"all equally fast", 0, 5 * ms},
		{"a few slow ones are hedged", 2, 5 * ms},
		{"many slow ones raise the delay", 50, 100 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			if tt.slow >= 0 {
				recordAttempts(tr, start, 100-tt.slow, resultWith(unit.CodeWhole))
				slow := resultWith(unit.CodeWhole)
				slow.Took = 100 * ms
				recordAttempts(tr, start, tt.slow, slow)
			}
			after := tr.Reserve(start, "s", 40).HedgeAfter
			assert.Assert(t, after >= tt.after && after <= tt.after*11/10, "after %s", after)
		})
	}
}

// TestBudgetProperties checks with random reservations and refunds that the tokens used never exceed the initial
// tokens plus those earned by first attempts.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget{tokens: maxTokens}
		first, used, reserved := 0, 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if reserved > 0 && rapid.Bool().Draw(t, "refund") {
				n := rapid.IntRange(0, reserved).Draw(t, "unused")
				b.refund(n)
				used += reserved - n
				reserved = 0
				continue
			}
			shards := rapid.IntRange(0, 200).Draw(t, "shards")
			first += shards
			n := b.reserve(shards, rapid.Bool().Draw(t, "slow"))
			assert.Assert(t, n >= 0 && b.tokens >= 0)
			reserved += n
		}
		assert.Assert(t, float64(used+reserved) <= maxTokens+extraShare*float64(first)+1e-6)
	})
}

func TestTrackerSweeps(t *testing.T) {
	tr := New()
	recordAttempts(tr, start, 1, resultWith(unit.CodeWhole))
	tr.RecordSent(start, "e2")
	tr.RecordSent(start.Add(forgetAfter+sweepPeriod), "e3")
	assert.Assert(t, tr.endpoints["e1"] == nil)
	assert.Assert(t, tr.endpoints["e2"] != nil, "one with an open attempt is kept")
}

// TestTrackerRefusalsCountAsSlow checks that a refusal makes an endpoint look slower than one that replies at the
// typical latency, and only for a while. Otherwise a full endpoint would attract requests by refusing them fast.
func TestTrackerRefusalsCountAsSlow(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		// slower is set if the refusing endpoint is still expected to be more than twice as slow.
		slower bool
	}{
		{"at once", 0, true},
		{"after a second", time.Second, true},
		{"after ten seconds it is tried again", 10 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			recordTypical(tr, start)
			recordAttempts(tr, start, 1, resultWith(unit.CodeRefused))
			now := start.Add(tt.after)
			refusing, answering := tr.Condition(now, "s", "e1"), tr.Condition(now, "s", "e0")
			assert.Assert(t, !refusing.Ejected)
			assert.Equal(t, refusing.Latency > 2*answering.Latency, tt.slower)
		})
	}
}
