package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/policy/member"
)

// TestPeersIdle follows one peer through calls and a loss: the looks rest only while there is nothing to watch, and
// whatever is to be watched ends the rest.
func TestPeersIdle(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := member.Member{ID: "e2", State: member.StateLive, Peer: "10.0.0.2:1"}
	p := &peers{wake: make(chan struct{}, 1)}
	steps := []struct {
		name  string
		do    func()
		woken bool
		rest  bool
	}{
		{"nothing yet", func() {}, false, true},
		{"a call is sent", func() { p.recordSent(now, owner) }, true, false},
		{"a second one", func() { p.recordSent(now, owner) }, false, false},
		{"one ends", func() { p.recordEnded(now, owner, true) }, false, false},
		{"the other ends", func() { p.recordEnded(now, owner, true) }, false, true},
		{"a connection is lost", func() { p.recordConnectionFailure(now, owner) }, true, false},
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
		assert.Equal(t, p.tryIdle(), step.rest, step.name)
	}
}
