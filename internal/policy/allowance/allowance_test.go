package allowance

import (
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
		{"slack and requests", fullLimits, 100, 10, 0, 100, 24},
		{"requests of the last window", fullLimits, 100, 10, 9 * time.Second, 100, 24},
		{"requests before the last window", fullLimits, 100, 10, 11 * time.Second, 100, 4},
		{"fewer than allowed", fullLimits, 100, 1, 0, 7, 7},
		{"after a restart", restartedLimits, 100, 1, 0, 100, 30},
		{"a window after a restart", restartedLimits, 100, 1, 11 * time.Second, 100, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(tt.limits)
			for range tt.requests {
				a.RecordRequest(start, "s")
			}
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
	rapid.Check(t, func(t *rapid.T) {
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
		for _, end := range extra {
			from := end.Add(-fullLimits.Window)
			n, bound := count(extra, from, end), fullLimits.Ratio*float64(count(requests, from, end))+fullLimits.Slack
			if float64(n) > bound {
				t.Fatalf("%d extra requests in the window to %v, at most %v", n, end, bound)
			}
		}
	})
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
