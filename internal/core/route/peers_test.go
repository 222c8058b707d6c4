package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/policy/member"
)

// TestPeersIdle checks that the periodic checks become idle only while no call is in flight and no peer is suspected,
// and that a call or a failed connection wakes them up.
func TestPeersIdle(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := member.Member{ID: "e2", State: member.StateLive, Peer: "10.0.0.2:1"}
	p := &peers{wake: make(chan struct{}, 1)}
	steps := []struct {
		name  string
		do    func()
		woken bool
		idle  bool
	}{
		{"no call yet", func() {}, false, true},
		{"first call is sent", func() { p.recordSent(now, owner) }, true, false},
		{"second call is sent", func() { p.recordSent(now, owner) }, false, false},
		{"first call ends", func() { p.recordEnded(now, owner, true) }, false, false},
		{"second call ends", func() { p.recordEnded(now, owner, true) }, false, true},
		{"connection fails", func() { p.recordConnectionFailure(now, owner) }, true, false},
	}
	for _, step := range steps {
		step.do()
		woken := false
		select {
		case <-p.wake:
			woken = true
		default:
		}
		assert.Equal(t, woken, step.woken, step.name)
		assert.Equal(t, p.tryIdle(), step.idle, step.name)
	}
}
