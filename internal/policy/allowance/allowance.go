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
	// slots is how many parts a window is counted in; one more is kept so that the count always covers a whole window.
	slots = 40
	// slackUse is the share of the slack that is handed out; the rest covers VMs that are not known of yet, and those that
	// have been restarted, which may have spent their portion before.
	slackUse = 0.8
)

// Terms are the bounds that the operators publish.
type Terms struct {
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
	Terms Terms
	// began is the time of the first count; slots are counted from there, on the steady clock.
	began    time.Time
	services map[unit.ServiceName]*ledger
}

// ledger counts one service's requests in slots of a fixed length.
type ledger struct {
	// at is the number of the newest slot.
	at     int64
	asked  [slots + 1]int32
	extra  [slots + 1]int32
	askedN int32
	extraN int32
}

// New makes an allowance that has counted nothing.
func New(terms Terms) *Allowance {
	return &Allowance{Terms: terms, services: make(map[unit.ServiceName]*ledger)}
}

// SetTerms changes the bounds. With another window, what was counted is forgotten, and the requests of the time before
// allow nothing.
func (a *Allowance) SetTerms(terms Terms) {
	if terms.Window != a.Terms.Window {
		clear(a.services)
	}
	a.Terms = terms
}

// Asked counts a caller's request for the service.
func (a *Allowance) Asked(now time.Time, service unit.ServiceName) {
	l := a.ledger(now, service)
	l.asked[l.at%(slots+1)]++
	l.askedN++
}

// Take counts an extra request and says whether it may be sent; vms is how many entry VMs share the slack.
func (a *Allowance) Take(now time.Time, service unit.ServiceName, vms int) bool {
	l := a.ledger(now, service)
	if float64(l.extraN+1) > a.Terms.Ratio*float64(l.askedN)+a.portion(now, vms) {
		return false
	}
	l.extra[l.at%(slots+1)]++
	l.extraN++
	return true
}

// portion is this VM's part of the slack.
func (a *Allowance) portion(now time.Time, vms int) float64 {
	use := slackUse
	if !a.Terms.Fresh && now.Sub(a.began) < a.Terms.Window {
		use = 1 - slackUse
	}
	return use * a.Terms.Slack / float64(max(vms, 1))
}

// Left gives how many extra requests may be sent now.
func (a *Allowance) Left(now time.Time, service unit.ServiceName, vms int) int {
	l := a.ledger(now, service)
	return int(a.Terms.Ratio*float64(l.askedN) + a.portion(now, vms) - float64(l.extraN))
}

func (a *Allowance) ledger(now time.Time, service unit.ServiceName) *ledger {
	l := a.services[service]
	if l == nil {
		l = &ledger{}
		a.services[service] = l
	}
	if a.began.IsZero() {
		a.began = now
	}
	l.advance(int64(now.Sub(a.began) / (a.Terms.Window / slots)))
	return l
}

// advance empties the slots that have left the window.
func (l *ledger) advance(at int64) {
	if at <= l.at {
		return
	}
	from := max(l.at+1, at-slots)
	for n := from; n <= at; n++ {
		i := n % (slots + 1)
		l.askedN -= l.asked[i]
		l.extraN -= l.extra[i]
		l.asked[i], l.extra[i] = 0, 0
	}
	l.at = at
}
