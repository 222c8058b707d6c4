package place

import (
	"time"

	"github.com/qmuntal/stateless"
)

const (
	// suspectAfter is how long a peer with calls under way may say nothing before it is suspected.
	suspectAfter = 150 * time.Millisecond
	// probeAfter is how long a peer with calls under way, or a suspected one, may say nothing before it is probed.
	probeAfter = 40 * time.Millisecond
	// initialWindow is how many calls may be under way at a peer that has just answered again.
	initialWindow = 1
	// fullWindow ends the probation.
	fullWindow = 64
)

// The states of the trust in a peer.
const (
	stateTrusted   = "trusted"
	stateSuspected = "suspected"
	stateProbation = "probation"
)

// The triggers of the trust in a peer.
const (
	triggerSilent   = "silent"
	triggerResponse = "heard"
	triggerProven   = "proven"
)

// Trust is what one entry VM thinks of another as an owner, from nothing but that VM's own replies. It is not safe for
// use by several goroutines.
type Trust struct {
	machine *stateless.StateMachine
	// inFlight counts the calls under way at the peer.
	inFlight int
	// lastActivity is when the peer last said something, or when the first call under way was sent.
	lastActivity time.Time
	// window is how many calls may be under way during the probation.
	window int
}

// NewTrust makes the trust in a peer that is not known yet.
func NewTrust() *Trust {
	m := stateless.NewStateMachine(stateTrusted)
	m.Configure(stateTrusted).Permit(triggerSilent, stateSuspected)
	m.Configure(stateSuspected).Permit(triggerResponse, stateProbation)
	m.Configure(stateProbation).Permit(triggerSilent, stateSuspected).Permit(triggerProven, stateTrusted)
	return &Trust{machine: m}
}

// Usable says whether a further call may go to the peer.
func (t *Trust) Usable() bool {
	switch t.machine.MustState() {
	case stateTrusted:
		return true
	case stateProbation:
		return t.inFlight < t.window
	default:
		return false
	}
}

// Suspected says whether calls under way at the peer had better be made elsewhere.
func (t *Trust) Suspected() bool {
	return t.machine.MustState() == stateSuspected
}

// RecordSent takes a call that is sent to the peer.
func (t *Trust) RecordSent(now time.Time) {
	if t.inFlight == 0 {
		t.lastActivity = now
	}
	t.inFlight++
}

// RecordEnded takes the end of a call, with or without a reply.
func (t *Trust) RecordEnded() {
	t.inFlight--
}

// RecordResponse takes a sign of life; replied says that it was the reply to a call and no probe's.
func (t *Trust) RecordResponse(now time.Time, replied bool) {
	t.lastActivity = now
	switch t.machine.MustState() {
	case stateSuspected:
		t.window = initialWindow
		t.fire(triggerResponse)
	case stateProbation:
		if !replied {
			return
		}
		t.window *= 2
		if t.window >= fullWindow {
			t.fire(triggerProven)
		}
	}
}

// RecordConnectionFailure takes a connection that failed, which is as telling as a silence; it says true when the peer becomes suspected by it.
func (t *Trust) RecordConnectionFailure(now time.Time) bool {
	if t.Suspected() {
		return false
	}
	t.lastActivity = now
	t.fire(triggerSilent)
	return true
}

// Idle says whether no call is under way at the peer.
func (t *Trust) Idle() bool {
	return t.inFlight == 0
}

// CheckSilence takes the passing of time; it says true when the peer becomes suspected by its silence.
func (t *Trust) CheckSilence(now time.Time) bool {
	if t.inFlight == 0 || t.Suspected() || now.Sub(t.lastActivity) < suspectAfter {
		return false
	}
	t.fire(triggerSilent)
	return true
}

// NeedsProbe says whether the peer is to be asked for a sign of life.
func (t *Trust) NeedsProbe(now time.Time) bool {
	if t.inFlight == 0 && !t.Suspected() {
		return false
	}
	return now.Sub(t.lastActivity) >= probeAfter
}

// fire hands a trigger to the machine; one that the state does not permit changes nothing.
func (t *Trust) fire(trigger string) {
	if ok, err := t.machine.CanFire(trigger); ok && err == nil {
		_ = t.machine.Fire(trigger)
	}
}
