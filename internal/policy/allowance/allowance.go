// Package allowance limits the extra requests, which are the hedges and retries sent to the endpoints of a service.
//
// In any window, all entry VMs together send a service at most Ratio extra requests per request, plus Slack. The
// requests are those of the window itself or of the one before it, whichever has more.
//
// The VMs keep to the limit without coordination: each VM limits its extra requests in a window to Ratio of the mean of
// its own requests in these two windows, plus its portion of Slack. It applies this to every window that contains the
// time of an extra request, because the windows of the other VMs end later than its own. A restarted VM doesn't know
// how much of its portion it used before the restart, so it gets only a small part of the portion in its first window.
//
// A VM that has another one serve shards for it may reserve extra requests for them (Reserve) and let that VM send
// them in its place. They count at the VM that reserved them, so that the limit holds whatever the VMs believe of each
// other.
package allowance

import (
	"math"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// windowSlots is the number of slots into which a window is divided.
	windowSlots = 40
	// keptSlots is the number of slots that are kept, which cover a window and the one before it.
	keptSlots = 2 * windowSlots
	// slackShare is the share of the slack that the VMs use. The rest is a reserve for VMs that are not known yet and
	// for restarted VMs, which may have used their portion before the restart.
	slackShare = 0.8
)

// Limits are the limits that the operators publish.
type Limits struct {
	// Ratio is how many extra requests are allowed per request of a window or of the one before it.
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
	newest int64
	slots  [keptSlots]slot
	// reserved counts the extra requests that another VM may be sending. They count in every window.
	reserved int32
}

// slot has the counts of one slot.
type slot struct {
	requests int32
	extra    int32
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

// RecordRequest counts a caller's request to the service. Each one adds half of Ratio to what Allow permits in its
// window, and the other half in the window after it.
func (a *Allowance) RecordRequest(now time.Time, service unit.ServiceName) {
	a.counter(now, service).at(0).requests++
}

// Allow reports whether an extra request, a hedge or a retry, may be sent now, and counts it if so. vms is the number
// of entry VMs that share the slack.
func (a *Allowance) Allow(now time.Time, service unit.ServiceName, vms int) bool {
	c := a.counter(now, service)
	if 1 > c.remaining(a.Limits.Ratio)+a.slackPortion(now, vms) {
		return false
	}
	c.at(0).extra++
	return true
}

// Reserve reports whether another VM may send an extra request in place of this one, and reserves it if so. Each
// reservation must be followed by one call of Settle.
func (a *Allowance) Reserve(now time.Time, service unit.ServiceName, vms int) bool {
	c := a.counter(now, service)
	if 1 > c.remaining(a.Limits.Ratio)+a.slackPortion(now, vms) {
		return false
	}
	c.reserved++
	return true
}

// Settle ends a reservation. used means that the extra request was sent or may have been.
func (a *Allowance) Settle(now time.Time, service unit.ServiceName, used bool) {
	c := a.counter(now, service)
	c.reserved = max(0, c.reserved-1)
	if used {
		c.at(0).extra++
	}
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
	return int(a.counter(now, service).remaining(a.Limits.Ratio) + a.slackPortion(now, vms))
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

// at returns the slot that is that many slots older than the newest one.
func (c *counter) at(age int64) *slot {
	return &c.slots[(c.newest+keptSlots-age)%keptSlots]
}

// remaining returns how many extra requests the requests allow now, in addition to the slack. It is the least number
// for any window that contains the present. Of a window that begins in a slot, all extra requests of that slot count,
// but no request of the slot in which the window before it begins.
func (c *counter) remaining(ratio float64) float64 {
	requests, extra := int32(0), c.reserved
	for age := range int64(windowSlots - 1) {
		requests += c.at(age).requests
	}
	least := math.Inf(1)
	for age := range int64(windowSlots + 1) {
		requests += c.at(age + windowSlots - 1).requests
		extra += c.at(age).extra
		least = min(least, ratio*float64(requests)/2-float64(extra))
	}
	return least
}

// advance makes newest the newest slot, unless it is past, and clears the slots that are no longer kept.
func (c *counter) advance(newest int64) {
	for n := max(c.newest+1, newest-keptSlots+1); n <= newest; n++ {
		c.slots[n%keptSlots] = slot{}
	}
	c.newest = max(c.newest, newest)
}
