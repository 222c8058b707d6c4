package ownership

import (
	"time"

	"github.com/qmuntal/stateless"
)

const (
	// suspectAfter is how long a peer with calls in flight may be silent before it is suspected.
	suspectAfter = 150 * time.Millisecond
	// probeAfter is how long a peer that has calls in flight, or is suspected, may be silent before it is probed.
	probeAfter = 40 * time.Millisecond
	// initialWindow is how many calls may be in flight to a peer that has just started to respond again.
	initialWindow = 1
	// fullWindow is the window size at which probation ends.
	fullWindow = 64
)

// States of a peer.
const (
	stateTrusted   = "trusted"
	stateSuspected = "suspected"
	stateProbation = "probation"
)

// Triggers of the state machine.
const (
	triggerSilent   = "silent"
	triggerResponse = "heard"
	triggerProven   = "proven"
)

// Trust tracks whether another entry VM can be used as an owner, based only on that VM's own responses. A suspected
// peer that responds again enters probation, which limits the calls in flight to it. The limit doubles with each reply
// to a call, until the peer is trusted again. Trust is not safe for concurrent use.
type Trust struct {
	machine *stateless.StateMachine
	// inFlight is the number of calls in flight to the peer.
	inFlight int
	// lastActivity is when the peer last responded or failed, or when the first of the calls in flight was sent.
	lastActivity time.Time
	// window is how many calls may be in flight during probation.
	window int
}

// NewTrust returns the state of a peer that is not known yet, which is trusted.
func NewTrust() *Trust {
	m := stateless.NewStateMachine(stateTrusted)
	m.Configure(stateTrusted).Permit(triggerSilent, stateSuspected)
	m.Configure(stateSuspected).Permit(triggerResponse, stateProbation)
	m.Configure(stateProbation).Permit(triggerSilent, stateSuspected).Permit(triggerProven, stateTrusted)
	return &Trust{machine: m}
}

// Usable reports whether another call may be sent to the peer: always while it is trusted, never while it is suspected,
// and during probation while fewer calls than the window are in flight.
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

// Suspected reports whether the peer is suspected, in which case calls in flight to it should be made elsewhere.
func (t *Trust) Suspected() bool {
	return t.machine.MustState() == stateSuspected
}

// RecordSent records that a call has been sent to the peer. Each call must be followed by one of RecordEnded.
func (t *Trust) RecordSent(now time.Time) {
	if t.inFlight == 0 {
		t.lastActivity = now
	}
	t.inFlight++
}

// RecordEnded records the end of a call, with or without a reply. RecordResponse or RecordConnectionFailure follows
// where there was one.
func (t *Trust) RecordEnded() {
	t.inFlight--
}

// RecordResponse records a response of the peer. replied is true for the reply to a call and false for the reply to a
// probe.
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

// RecordConnectionFailure records a failed connection, which counts like silence. It reports whether the peer has
// become suspected by it.
func (t *Trust) RecordConnectionFailure(now time.Time) bool {
	if t.Suspected() {
		return false
	}
	t.lastActivity = now
	t.fire(triggerSilent)
	return true
}

// Idle reports whether no call is in flight to the peer.
func (t *Trust) Idle() bool {
	return t.inFlight == 0
}

// CheckSilence suspects a peer that has been silent for suspectAfter with calls in flight. It reports whether the peer
// has become suspected. It is called periodically.
func (t *Trust) CheckSilence(now time.Time) bool {
	if t.inFlight == 0 || t.Suspected() || now.Sub(t.lastActivity) < suspectAfter {
		return false
	}
	t.fire(triggerSilent)
	return true
}

// NeedsProbe reports whether a probe should be sent to the peer: it has been silent for probeAfter and has calls in
// flight or is suspected.
func (t *Trust) NeedsProbe(now time.Time) bool {
	if t.inFlight == 0 && !t.Suspected() {
		return false
	}
	return now.Sub(t.lastActivity) >= probeAfter
}

// fire changes the state by a trigger. It does nothing if the state does not permit the trigger.
func (t *Trust) fire(trigger string) {
	if ok, err := t.machine.CanFire(trigger); ok && err == nil {
		_ = t.machine.Fire(trigger)
	}
}
