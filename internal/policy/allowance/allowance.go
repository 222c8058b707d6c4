// Package allowance bounds the requests that are sent to a service's endpoints more than once, by a hedge or a retry.
//
// A service takes, in any window, at most Ratio extra requests for each request, and Slack beyond that, from all entry
// VMs together. Each VM keeps to Ratio of its own requests and to its portion of Slack, so that the VMs need not talk
// to each other to keep the bound. A VM that has been restarted does not know what it spent before, so it has only a small
// part of its portion for the first window.
package allowance

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// windowSlots is how many parts a window is counted in; one more is kept so that the count always covers a whole window.
	windowSlots = 40
	// slackShare is the share of the slack that is handed out; the rest covers VMs that are not known of yet, and those that
	// have been restarted, which may have spent their portion before.
	slackShare = 0.8
)

// Limits are the bounds that the operators publish.
type Limits struct {
	// Ratio is how many extra requests each request allows.
	Ratio float64
	// Slack is how many extra requests a window allows besides.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Fresh says that no VM has spent anything before this one has started.
	Fresh bool
}

// Allowance counts the requests and the extra requests of each service. It is not safe for use by several goroutines.
type Allowance struct {
	Limits Limits
	// started is the time of the first count; slots are counted from there, on the steady clock.
	started  time.Time
	services map[unit.ServiceName]*counter
}

// counter counts one service's requests in slots of a fixed length.
type counter struct {
	// newest is the number of the newest slot.
	newest       int64
	requests     [windowSlots + 1]int32
	extra        [windowSlots + 1]int32
	requestTotal int32
	extraTotal   int32
}

// New makes an allowance that has counted nothing.
func New(limits Limits) *Allowance {
	return &Allowance{Limits: limits, services: make(map[unit.ServiceName]*counter)}
}

// SetLimits changes the bounds. With another window, what was counted is forgotten, and the requests of the time before
// allow nothing.
func (a *Allowance) SetLimits(limits Limits) {
	if limits.Window != a.Limits.Window {
		clear(a.services)
	}
	a.Limits = limits
}

// RecordRequest counts a caller's request for the service.
func (a *Allowance) RecordRequest(now time.Time, service unit.ServiceName) {
	l := a.counter(now, service)
	l.requests[l.newest%(windowSlots+1)]++
	l.requestTotal++
}

// Allow counts an extra request and says whether it may be sent; vms is how many entry VMs share the slack.
func (a *Allowance) Allow(now time.Time, service unit.ServiceName, vms int) bool {
	l := a.counter(now, service)
	if float64(l.extraTotal+1) > a.Limits.Ratio*float64(l.requestTotal)+a.slackPortion(now, vms) {
		return false
	}
	l.extra[l.newest%(windowSlots+1)]++
	l.extraTotal++
	return true
}

// slackPortion is this VM's part of the slack.
func (a *Allowance) slackPortion(now time.Time, vms int) float64 {
	share := slackShare
	if !a.Limits.Fresh && now.Sub(a.started) < a.Limits.Window {
		share = 1 - slackShare
	}
	return share * a.Limits.Slack / float64(max(vms, 1))
}

// Remaining gives how many extra requests may be sent now.
func (a *Allowance) Remaining(now time.Time, service unit.ServiceName, vms int) int {
	l := a.counter(now, service)
	return int(a.Limits.Ratio*float64(l.requestTotal) + a.slackPortion(now, vms) - float64(l.extraTotal))
}

func (a *Allowance) counter(now time.Time, service unit.ServiceName) *counter {
	l := a.services[service]
	if l == nil {
		l = &counter{}
		a.services[service] = l
	}
	if a.started.IsZero() {
		a.started = now
	}
	l.advance(int64(now.Sub(a.started) / (a.Limits.Window / windowSlots)))
	return l
}

// advance empties the slots that have left the window.
func (l *counter) advance(at int64) {
	if at <= l.newest {
		return
	}
	from := max(l.newest+1, at-windowSlots)
	for n := from; n <= at; n++ {
		i := n % (windowSlots + 1)
		l.requestTotal -= l.requests[i]
		l.extraTotal -= l.extra[i]
		l.requests[i], l.extra[i] = 0, 0
	}
	l.newest = at
}
