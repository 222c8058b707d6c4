// Package control owns the control state of an entry VM: the configuration in force, the member VMs and the leaving
// endpoints. All of it lives on the control goroutine, which publishes views for traffic to read and sends the state to
// the other entry VMs through the exchange.
package control

import (
	"log/slog"
	"time"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/exchange"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/platform"
	"basilspan/internal/policy/freshness"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/replay"
	"basilspan/internal/policy/revision"
)

// maxTargets is the number of known members called in one round of heartbeats, apart from a lost one and configured
// peers that are not known yet.
const maxTargets = 8

// Drain is the event that a planned stop of this VM has begun.
type Drain struct{}

// EndpointLeaving is the event that an endpoint has reported in a response that it is leaving.
type EndpointLeaving struct {
	Sign leaving.Sign
}

// Options configure the control state. The function fields are its seams.
type Options struct {
	Node    unit.NodeID
	Centre  unit.CentreName
	Peers   []unit.Address
	Views   *view.Store
	Metrics *metric.Set
	Log     *slog.Logger

	// Address returns the address at which peers reach this VM.
	Address func() unit.Address
	// Publish replaces the state that is sent to the peers, TriggerRound sends it at once, and Fetch reads the
	// configuration that a peer holds.
	Publish      func(state *exchange.State)
	TriggerRound func()
	Fetch        func(from unit.Address, wanted revision.Version)
	// RefreshPlatform starts a new read of the platform's configuration and list of VMs.
	RefreshPlatform func()
	// RandIntN returns a random number from 0 up to but not including n.
	RandIntN func(n int) int
	// Record records an offered configuration and the verdict in the trace; nil records nothing.
	Record func(now time.Time, offer replay.Offer)
}

// Control is the state that the control goroutine owns.
type Control struct {
	Options

	selector revision.Selector
	// configFiles are the files of the configuration in force.
	configFiles []folder.File
	memberTable *member.Table
	leaving     *leaving.Set
	// freshness tracks whether every source has been read since the start or the last pause. Until then no view is
	// published.
	freshness freshness.Tracker
	// fetching holds the configurations that are being fetched from peers.
	fetching map[revision.Version]bool
	// unreadableVMs is the number of entries that could not be decoded in the platform's last list of VMs.
	unreadableVMs int
	// lastHeartbeat is when this VM last counted its heartbeat.
	lastHeartbeat time.Time
	// fresh is set when the first view is published after the start or after a pause of the process.
	fresh bool
	// members and leavingEndpoints are the parts of the view that change seldom.
	members          []member.Member
	leavingEndpoints map[unit.EndpointID]bool
	// configSince is when the configuration came into force on this VM.
	configSince time.Time
}

// Install creates the control state and registers its event handlers with loop. The incarnation of this VM is the time
// of its start, in milliseconds.
func Install(loop *kernel.Loop, now time.Time, options Options) *Control {
	self := member.Record{Member: member.Member{
		ID:          options.Node,
		Centre:      options.Centre,
		Incarnation: unit.Incarnation(now.UnixMilli()),
		State:       member.StateStarting,
	}}
	c := &Control{
		Options:     options,
		memberTable: member.New(self),
		leaving:     leaving.New(),
		fetching:    make(map[revision.Version]bool),
	}
	c.freshness.Reset(now)
	c.members = c.memberTable.Members()
	kernel.On(loop, c.onConfig)
	kernel.On(loop, c.onVMs)
	kernel.On(loop, c.onPlatformRead)
	kernel.On(loop, c.onHeartbeat)
	kernel.On(loop, c.onRoundEnded)
	kernel.On(loop, c.onFetchEnded)
	kernel.On(loop, c.onDrain)
	kernel.On(loop, c.onEndpointLeaving)
	kernel.On(loop, c.onTick)
	return c
}

// onDrain announces to traffic and at once to the peers that this VM is leaving.
func (c *Control) onDrain(now time.Time, _ Drain) {
	c.memberTable.AdvanceOwnState(member.StateLeaving)
	c.publishMembers(now)
	c.TriggerRound()
}

// onTick publishes a view every tick, so that traffic always has a recent one. Once per heartbeat period, and after a
// pause of the process, it also checks the members for silence and publishes the state for the peers. The time of the
// pause does not count as silence of the others.
func (c *Control) onTick(now time.Time, tick kernel.Tick) {
	pause := time.Duration(0)
	if tick.Gap > freshness.PauseThreshold {
		pause = tick.Gap
		c.handlePause(now, tick.Gap)
	}
	if pause > 0 || now.Sub(c.lastHeartbeat) >= member.HeartbeatPeriod {
		c.lastHeartbeat = now
		c.memberTable.CountHeartbeat()
		addressChanged := c.memberTable.SetOwnAddress(c.Address())
		if c.memberTable.Tick(now, pause) || addressChanged {
			c.publishMembers(now)
		}
		c.publishState()
	}
	c.publishView(now)
}

// handlePause starts a new read of the platform's configuration and list of VMs after a pause of the process; a round
// of heartbeats to the peers follows it. No view is published until all of them have been read again.
func (c *Control) handlePause(now time.Time, gap time.Duration) {
	c.Metrics.Add("control.paused", 1)
	c.Log.Warn("process was paused; reading platform and peers again", "gap", gap)
	c.freshness.Reset(now)
	c.fresh = false
	c.RefreshPlatform()
}

// onPlatformRead handles the end of a read of the platform's configuration or list of VMs, whether or not the read
// succeeded. The data of a successful read came before, as an event of its own. This event updates the freshness and
// publishes a view. The list of VMs names the peers, so until every source has been read, each read of the list that
// counts, also a failed one, triggers a round of heartbeats.
func (c *Control) onPlatformRead(now time.Time, event platform.ReadEnded) {
	if !event.Succeeded {
		c.Metrics.Add("platform.failed", 1)
	}
	counts := c.freshness.RecordQuery(now, event.Began, event.Source, event.Succeeded)
	if counts && event.Source == freshness.SourceVMs && !c.freshness.Fresh() {
		c.publishState()
		c.TriggerRound()
	}
	c.publishView(now)
}

// onRoundEnded handles the end of a round of heartbeats, which counts as a read of the peers.
func (c *Control) onRoundEnded(now time.Time, event exchange.RoundEnded) {
	c.Metrics.Add("exchange.round", 1)
	c.Metrics.Add("exchange.failed", int64(event.Targets-event.Answered))
	c.freshness.RecordQuery(now, event.Began, freshness.SourcePeers, event.Answered > 0)
	c.publishView(now)
}

// publishView publishes a new view to traffic, unless what this VM knows may be out of date. With the first fresh view
// under a configuration this VM becomes live.
func (c *Control) publishView(now time.Time) {
	if !c.freshness.Fresh() {
		return
	}
	current := c.selector.Current()
	if !c.fresh {
		c.recordFresh(current.Catalog != nil)
	}
	if current.Catalog != nil && c.memberTable.AdvanceOwnState(member.StateLive) {
		c.members = c.memberTable.Members()
		c.publishState()
		c.TriggerRound()
	}
	refused, problem := c.selector.NewestRefused()
	c.Views.Publish(&view.View{
		At:              now,
		Revision:        current.Revision,
		InForceSince:    c.configSince,
		RefusedRevision: refused,
		Problem:         problem,
		Catalog:         current.Catalog,
		Members:         c.members,
		Leaving:         c.leavingEndpoints,
	})
}

// recordFresh counts that the state has become fresh after the start or a pause. If no source has answered it also
// counts and logs that. configured reports whether a configuration is in force.
func (c *Control) recordFresh(configured bool) {
	c.fresh = true
	c.Metrics.Add("control.fresh", 1)
	if c.freshness.Alone() {
		c.Metrics.Add("control.alone", 1)
		c.Log.Warn("neither platform nor peers answer; continuing with the last known state", "configured", configured)
	}
}

// publishState replaces the state that is sent to the peers in the next round. It also updates the address of this VM,
// which is known only once the link listens.
func (c *Control) publishState() {
	if c.memberTable.SetOwnAddress(c.Address()) {
		c.members = c.memberTable.Members()
	}
	current := c.selector.Current()
	c.Publish(&exchange.State{
		Records: c.memberTable.Records(),
		Leaving: c.leaving.Signs(),
		Config:  exchange.Config{Version: current.Version(), Files: c.configFiles},
		Targets: c.roundTargets(),
	})
}

// roundTargets returns the peers of the next round: a selection of the known members, and the configured peers that are
// not among the known members.
func (c *Control) roundTargets() []unit.Address {
	all := c.memberTable.Targets(maxTargets, c.RandIntN)
	known := map[unit.Address]bool{c.Address(): true}
	for _, m := range c.memberTable.Members() {
		known[m.Peer] = true
	}
	for _, p := range c.Peers {
		if !known[p] {
			all = append(all, p)
		}
	}
	return all
}
