// Package allowance limits the extra requests, which are the hedges and retries sent to the endpoints of a service.
//
// In any window, all entry VMs together send a service at most Ratio extra requests per request, plus Slack. Each VM
// limits itself to Ratio of its own requests and its portion of Slack, so that the VMs keep to the limit without
// coordination. A restarted VM doesn't know how much of its portion it used before the restart, so it gets only a
// small part of the portion in its first window.
package allowance

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// windowSlots is the number of slots into which a window is divided. One more slot is kept so that the counts
	// always cover a whole window.
	windowSlots = 40
	// slackShare is the share of the slack that the VMs use. The rest is a reserve for VMs that are not known yet and
	// for restarted VMs, which may have used their portion before the restart.
	slackShare = 0.8
)

// Limits are the limits that the operators publish.
type Limits struct {
	// Ratio is how many extra requests are allowed per request.
	Ratio float64
	// Slack is how many extra requests are allowed per window in addition to Ratio.
	Slack float64
	// Window is the period over which requests and extra requests are counted.
	Window time.Duration
	// Fresh means that no extra requests were sent before this VM started, so that it need not allow for use before a
	// restart.
	Fresh bool
}

// Allowance counts the requests and extra requests of each service. It is not safe for concurrent use.
type Allowance struct {
	Limits Limits
	// started is the time of the first count. Slots are numbered from it on the monotonic clock.
	started  time.Time
	services map[unit.ServiceName]*counter
}

// counter counts the requests of one service in slots of equal length.
type counter struct {
	// newest is the number of the newest slot.
	newest       int64
	requests     [windowSlots + 1]int32
	extra        [windowSlots + 1]int32
	requestTotal int32
	extraTotal   int32
}

// New returns an allowance without any counts.
func New(limits Limits) *Allowance {
	return &Allowance{Limits: limits, services: make(map[unit.ServiceName]*counter)}
}

// SetLimits changes the limits. A change of the window resets all counts, so that earlier requests no longer allow
// extra ones.
func (a *Allowance) SetLimits(limits Limits) {
	if limits.Window != a.Limits.Window {
		clear(a.services)
	}
	a.Limits = limits
}

// RecordRequest counts a caller's request to the service. Each one adds Ratio extra requests to what Allow permits.
func (a *Allowance) RecordRequest(now time.Time, service unit.ServiceName) {
	c := a.counter(now, service)
	c.requests[c.newest%(windowSlots+1)]++
	c.requestTotal++
}

// Allow reports whether an extra request, a hedge or a retry, may be sent now, and counts it if so. vms is the number
// of entry VMs that share the slack.
func (a *Allowance) Allow(now time.Time, service unit.ServiceName, vms int) bool {
	c := a.counter(now, service)
	if float64(c.extraTotal+1) > a.Limits.Ratio*float64(c.requestTotal)+a.slackPortion(now, vms) {
		return false
	}
	c.extra[c.newest%(windowSlots+1)]++
	c.extraTotal++
	return true
}

// slackPortion returns this VM's portion of the slack. In the first window after a restart, it is only a portion of the
// reserve that slackShare leaves.
func (a *Allowance) slackPortion(now time.Time, vms int) float64 {
	share := slackShare
	if !a.Limits.Fresh && now.Sub(a.started) < a.Limits.Window {
		share = 1 - slackShare
	}
	return share * a.Limits.Slack / float64(max(vms, 1))
}

// Remaining returns how many extra requests may be sent now. It is negative if more were sent than the window allows
// by now. Only tests call it; Allow decides on an extra request and counts it.
func (a *Allowance) Remaining(now time.Time, service unit.ServiceName, vms int) int {
	c := a.counter(now, service)
	return int(a.Limits.Ratio*float64(c.requestTotal) + a.slackPortion(now, vms) - float64(c.extraTotal))
}

// counter returns the counter of a service, which it creates if there is none, with its window ending now.
func (a *Allowance) counter(now time.Time, service unit.ServiceName) *counter {
	c := a.services[service]
	if c == nil {
		c = &counter{}
		a.services[service] = c
	}
	if a.started.IsZero() {
		a.started = now
	}
	c.advance(int64(now.Sub(a.started) / (a.Limits.Window / windowSlots)))
	return c
}

// advance makes slot the newest one and clears the slots that have left the window.
func (c *counter) advance(slot int64) {
	if slot <= c.newest {
		return
	}
	from := max(c.newest+1, slot-windowSlots)
	for n := from; n <= slot; n++ {
		i := n % (windowSlots + 1)
		c.requestTotal -= c.requests[i]
		c.extraTotal -= c.extra[i]
		c.requests[i], c.extra[i] = 0, 0
	}
	c.newest = slot
}
