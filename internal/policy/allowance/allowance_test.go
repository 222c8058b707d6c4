package allowance

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start      = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	fullLimits = Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Fresh: true}
)

// restartedLimits are the limits of a VM that may have used its portion of the slack before it was restarted.
var restartedLimits = Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

func TestAllow(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
		// requests are recorded at start; tries extra requests are attempted after it.
		requests int
		vms      int
		after    time.Duration
		tries    int
		want     int
	}{
		{"slack only, one VM", fullLimits, 0, 1, 0, 100, 40},
		{"slack only, shared by ten VMs", fullLimits, 0, 10, 0, 100, 4},
		{"slack and requests", fullLimits, 100, 10, 0, 100, 14},
		{"requests of the last window", fullLimits, 100, 10, 9 * time.Second, 100, 14},
		{"requests before the last window", fullLimits, 100, 10, 11 * time.Second, 100, 4},
		{"fewer than allowed", fullLimits, 100, 1, 0, 7, 7},
		{"after a restart", restartedLimits, 100, 1, 0, 100, 20},
		{"a window after a restart", restartedLimits, 100, 1, 11 * time.Second, 100, 40},
		{"more VMs than slack", fullLimits, 100, 100, 0, 100, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(tt.limits)
			record(a, start, tt.requests)
			got := 0
			for range tt.tries {
				if a.Allow(start.Add(tt.after), "s", tt.vms) {
					got++
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// TestAllowUnderSteadyLoad checks that a VM may use the whole ratio and its portion of the slack in every window.
func TestAllowUnderSteadyLoad(t *testing.T) {
	const interval = 10 * time.Millisecond
	tests := []struct {
		name string
		vms  int
		want int
	}{
		{"one VM", 1, 200 + 40},
		{"ten VMs", 10, 200 + 4},
		{"more VMs than slack", 100, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(fullLimits)
			var extra []time.Time
			end := start.Add(5 * fullLimits.Window)
			for now := start; now.Before(end); now = now.Add(interval) {
				a.RecordRequest(now, "s")
				for a.Allow(now, "s", tt.vms) {
					extra = append(extra, now)
				}
			}
			got := count(extra, end.Add(-fullLimits.Window), end)
			// Counting by slots costs up to two slots of a window.
			assert.Assert(t, got <= tt.want && got >= tt.want*(windowSlots-2)/windowSlots, "%d, want %d", got, tt.want)
		})
	}
}

// TestServicesApart checks that extra requests to one service don't reduce the allowance of another.
func TestServicesApart(t *testing.T) {
	a := New(fullLimits)
	for a.Allow(start, "s", 10) {
	}
	assert.Equal(t, a.Remaining(start, "other", 10), 4)
	assert.Equal(t, a.Remaining(start, "s", 10), 0)
}

// TestBoundOfAllVMs checks the operators' limit for all VMs together: in every window, the extra requests are at most
// the ratio of the window's requests plus the slack. Requests arrive at random times and VMs, and each VM is
// restarted at most once per window, which makes it lose its counts.
func TestBoundOfAllVMs(t *testing.T) {
	rapid.Check(t, checkBoundOfAllVMs)
}

// TestBoundOfAllVMsWithFailedSeeds repeats the seeds that have exceeded the bound.
func TestBoundOfAllVMsWithFailedSeeds(t *testing.T) {
	for _, seed := range []string{"14380128120051531897", "18251098055708190226"} {
		t.Run(seed, func(t *testing.T) {
			setFlag(t, "rapid.seed", seed)
			setFlag(t, "rapid.checks", "1")
			rapid.Check(t, checkBoundOfAllVMs)
		})
	}
}

// TestBoundWhenRequestsLeaveTheWindowFirst guards against extra requests that outlive those which allowed them.
func TestBoundWhenRequestsLeaveTheWindowFirst(t *testing.T) {
	// step is what happens at one VM: it is restarted, receives requests, and attempts extra ones.
	type step struct {
		at       time.Duration
		vm       int
		restart  bool
		requests int
		tries    int
	}
	tests := []struct {
		name  string
		vms   int
		steps []step
	}{
		{"a VM is restarted after a burst", 1, []step{
			{at: 0, requests: 500},
			{at: 9900 * time.Millisecond, tries: 1000},
			{at: 10 * time.Second, restart: true, requests: 500},
			{at: 19 * time.Second, tries: 1000},
		}},
		{"the requests move to another VM", 2, []step{
			{at: 0, vm: 0, requests: 500},
			{at: 9900 * time.Millisecond, vm: 0, tries: 1000},
			{at: 10 * time.Second, vm: 1, requests: 500},
			{at: 19 * time.Second, vm: 1, tries: 1000},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := make([]*Allowance, tt.vms)
			for i := range all {
				all[i] = New(fullLimits)
			}
			var requests, extra []time.Time
			for _, step := range tt.steps {
				now := start.Add(step.at)
				if step.restart {
					all[step.vm] = New(restartedLimits)
				}
				record(all[step.vm], now, step.requests)
				requests = append(requests, slices.Repeat([]time.Time{now}, step.requests)...)
				for range step.tries {
					if all[step.vm].Allow(now, "s", tt.vms) {
						extra = append(extra, now)
					}
				}
			}
			assert.Assert(t, len(extra) > 0)
			assertPublishedBound(t, requests, extra)
		})
	}
}

// TestPublishedBoundUnderBursts checks the published limit of all VMs together under bursts at single VMs.
func TestPublishedBoundUnderBursts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 4).Draw(t, "vms")
		all := make([]*Allowance, vms)
		started := make([]time.Time, vms)
		for i := range all {
			all[i], started[i] = New(fullLimits), start
		}
		var requests, extra []time.Time
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "gap")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if now.Sub(started[vm]) >= fullLimits.Window && rapid.Bool().Draw(t, "restarts") {
				all[vm], started[vm] = New(restartedLimits), now
			}
			n := rapid.IntRange(0, 300).Draw(t, "requests")
			record(all[vm], now, n)
			requests = append(requests, slices.Repeat([]time.Time{now}, n)...)
			for range rapid.IntRange(0, 200).Draw(t, "tries") {
				if all[vm].Allow(now, "s", vms) {
					extra = append(extra, now)
				}
			}
		}
		assertPublishedBound(t, requests, extra)
	})
}

// TestReserve checks that reservations count as extra requests until they end unused.
func TestReserve(t *testing.T) {
	tests := []struct {
		name string
		// reserved are tried at start, of which settled end one second later, used or not.
		reserved, settled int
		used              bool
		after             time.Duration
		want              int
	}{
		{"none", 0, 0, false, 0, 4},
		{"open ones count", 3, 0, false, 0, 1},
		{"open ones count beyond a window", 3, 0, false, time.Minute, 1},
		{"no more than the portion of the slack", 10, 0, false, 0, 0},
		{"unused ones are returned", 3, 2, false, time.Second, 3},
		{"used ones count", 3, 3, true, time.Second, 1},
		{"used ones count for a window", 3, 3, true, 12 * time.Second, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(fullLimits)
			for i := range tt.reserved {
				assert.Equal(t, a.Reserve(start, "s", 10), i < 4)
			}
			for range tt.settled {
				a.Settle(start.Add(time.Second), "s", tt.used)
			}
			assert.Equal(t, a.Remaining(start.Add(tt.after), "s", 10), tt.want)
		})
	}
}

// TestBoundWithReservations checks the published limit of all VMs together when they send extra requests for each
// other. VMs ask any VM to serve a shard, whichever serves it by their own placement: each portion is sent with or without
// a reservation, the VM that serves it counts the request, uses the reservation late, from its own allowance, or not at
// all, and its response may be lost.
func TestBoundWithReservations(t *testing.T) {
	type portion struct {
		asker    int
		reserved bool
		used     bool
	}
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 8).Draw(t, "vms")
		all := make([]*Allowance, vms)
		started := make([]time.Time, vms)
		for i := range all {
			all[i], started[i] = New(fullLimits), start
		}
		var requests, extra []time.Time
		var open []portion
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if now.Sub(started[vm]) >= fullLimits.Window && rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
				all[vm], started[vm] = New(restartedLimits), now
				open = slices.DeleteFunc(open, func(p portion) bool { return p.asker == vm })
			}
			if rapid.Bool().Draw(t, "asks") {
				server := rapid.IntRange(0, vms-1).Draw(t, "server")
				all[server].RecordRequest(now, "s")
				requests = append(requests, now)
				open = append(open, portion{asker: vm, reserved: all[vm].Reserve(now, "s", vms)})
			}
			for i := range open {
				if open[i].reserved && !open[i].used && rapid.IntRange(0, 3).Draw(t, "uses") == 0 {
					open[i].used = true
					extra = append(extra, now)
				}
			}
			for len(open) > 0 && rapid.Bool().Draw(t, "ends") {
				p := open[0]
				open = open[1:]
				if p.reserved {
					all[p.asker].Settle(now, "s", p.used || rapid.Bool().Draw(t, "lost"))
				}
			}
			for rapid.IntRange(0, 3).Draw(t, "takes") > 0 && all[vm].Allow(now, "s", vms) {
				extra = append(extra, now)
			}
		}
		assertPublishedBound(t, requests, extra)
	})
}

func checkBoundOfAllVMs(t *rapid.T) {
	vms := rapid.IntRange(1, 8).Draw(t, "vms")
	all := make([]*Allowance, vms)
	started := make([]time.Time, vms)
	for i := range all {
		all[i] = New(fullLimits)
		started[i] = start
	}
	var requests, extra []time.Time
	now := start
	for range rapid.IntRange(1, 400).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
		vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
		if now.Sub(started[vm]) >= fullLimits.Window && rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
			all[vm], started[vm] = New(restartedLimits), now
		}
		a := all[vm]
		if rapid.Bool().Draw(t, "asks") {
			a.RecordRequest(now, "s")
			requests = append(requests, now)
		}
		for rapid.IntRange(0, 3).Draw(t, "takes") > 0 && a.Allow(now, "s", vms) {
			extra = append(extra, now)
		}
	}
	assertBound(t, requests, extra)
}

// assertBound fails the test if the extra requests of a window exceed the limit for the requests of that window.
func assertBound(t assert.TestingT, requests, extra []time.Time) {
	for _, end := range extra {
		from := end.Add(-fullLimits.Window)
		n, bound := count(extra, from, end), fullLimits.Ratio*float64(count(requests, from, end))+fullLimits.Slack
		assert.Assert(t, float64(n) <= bound, "%d extra requests in the window to %v, at most %v", n, end, bound)
	}
}

// assertPublishedBound fails the test if the extra requests of a window exceed the limit for the requests of that
// window, the one before it or the one half a window before it, whichever has most.
func assertPublishedBound(t assert.TestingT, requests, extra []time.Time) {
	for _, end := range slices.Compact(slices.Clone(extra)) {
		from := end.Add(-fullLimits.Window)
		most := 0
		for _, earlier := range []time.Duration{0, fullLimits.Window / 2, fullLimits.Window} {
			most = max(most, count(requests, from.Add(-earlier), end.Add(-earlier)))
		}
		n, bound := count(extra, from, end), fullLimits.Ratio*float64(most)+fullLimits.Slack
		assert.Assert(t, float64(n) <= bound, "%d extra requests in the window to %v, at most %v", n, end, bound)
	}
}

// record counts n requests.
func record(a *Allowance, now time.Time, n int) {
	for range n {
		a.RecordRequest(now, "s")
	}
}

// setFlag sets a command-line flag for the duration of the test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.NilError(t, flag.Set(name, old)) })
}

// count returns the number of times that are after from and not after to.
func count(all []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range all {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}
