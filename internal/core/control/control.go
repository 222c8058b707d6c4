// Package control owns the control state of an entry VM: the accepted configuration, the members and the leaving
// endpoints. All of it lives on the control goroutine, which publishes views for traffic to read and tells the other
// entry VMs by the exchange.
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

// maxTargets is how many peers are told in one round of heartbeats.
const maxTargets = 8

// Drain is the event that a planned stop of this VM has begun.
type Drain struct{}

// EndpointLeaving is the event that an endpoint has said that it is leaving.
type EndpointLeaving struct {
	Sign leaving.Sign
}

// Options are what the control state works with. The function fields are its seams.
type Options struct {
	Node    unit.NodeID
	Centre  unit.CentreName
	Peers   []unit.Address
	Views   *view.Store
	Metrics *metric.Set
	Log     *slog.Logger

	// Address gives the address that peers reach this VM at.
	Address func() unit.Address
	// Publish replaces what the peers are told, Nudge has them told at once, and Fetch reads a peer's configuration.
	Publish      func(state *exchange.State)
	TriggerRound func()
	Fetch        func(from unit.Address, wanted revision.Version)
	// RefreshPlatform has the platform read anew.
	RefreshPlatform func()
	// RandIntN gives a random number below n.
	RandIntN func(n int) int
	// Record records an offered configuration and the verdict; nil records nothing.
	Record func(now time.Time, offer replay.Offer)
}

// Control is the state that the control goroutine owns.
type Control struct {
	Options

	holder  revision.Selector
	files   []folder.File
	table   *member.Table
	leaving *leaving.Set
	gate    freshness.Tracker
	// pending are the configurations that are being fetched.
	pending map[revision.Version]bool
	beat    time.Time
	fresh   bool
	// members and out are the parts of the view that change seldom.
	members []member.Member
	out     map[unit.EndpointID]bool
	// since is when the configuration came into force on this VM.
	since time.Time
}

// Install makes the control state and has loop hand it the events that it decides on. The incarnation of this VM is
// the time of its start.
func Install(loop *kernel.Loop, now time.Time, options Options) *Control {
	self := member.Record{Member: member.Member{
		ID:          options.Node,
		Centre:      options.Centre,
		Incarnation: unit.Incarnation(now.UnixMilli()),
		State:       member.StateStarting,
	}}
	c := &Control{
		Options: options,
		table:   member.New(self),
		leaving: leaving.New(),
		pending: make(map[revision.Version]bool),
	}
	c.gate.Reset(now)
	c.members = c.table.Members()
	kernel.On(loop, c.onConfig)
	kernel.On(loop, c.onVMs)
	kernel.On(loop, c.onAsked)
	kernel.On(loop, c.onBeat)
	kernel.On(loop, c.onRound)
	kernel.On(loop, c.onOffer)
	kernel.On(loop, c.onDrain)
	kernel.On(loop, c.onEndpointLeaving)
	kernel.On(loop, c.onTick)
	return c
}

func (c *Control) onDrain(now time.Time, _ Drain) {
	c.table.AdvanceOwnState(member.StateLeaving)
	c.membersChanged(now)
	c.TriggerRound()
}

func (c *Control) onTick(now time.Time, tick kernel.Tick) {
	pause := time.Duration(0)
	if tick.Gap > freshness.PauseThreshold {
		pause = tick.Gap
		c.paused(now, tick.Gap)
	}
	if pause > 0 || now.Sub(c.beat) >= member.HeartbeatPeriod {
		c.beat = now
		c.table.CountHeartbeat()
		located := c.table.SetOwnAddress(c.Address())
		if c.table.Tick(now, pause) || located {
			c.membersChanged(now)
		}
		c.tell()
	}
	c.publish(now)
}

// paused has everything asked anew before traffic goes on.
func (c *Control) paused(now time.Time, gap time.Duration) {
	c.Metrics.Add("control.paused", 1)
	c.Log.Warn("the process was paused; asking platform and peers anew", "gap", gap)
	c.gate.Reset(now)
	c.fresh = false
	c.RefreshPlatform()
}

// onAsked takes the end of a read of the platform. The list names peers, so they are asked after it.
func (c *Control) onAsked(now time.Time, event platform.Asked) {
	if !event.Answered {
		c.Metrics.Add("platform.failed", 1)
	}
	counts := c.gate.RecordQuery(now, event.Began, event.Source, event.Answered)
	if counts && event.Source == freshness.SourceVMs && !c.gate.Fresh() {
		c.tell()
		c.TriggerRound()
	}
	c.publish(now)
}

func (c *Control) onRound(now time.Time, event exchange.RoundEnded) {
	c.Metrics.Add("exchange.round", 1)
	c.Metrics.Add("exchange.failed", int64(event.Targets-event.Answered))
	c.gate.RecordQuery(now, event.Began, freshness.SourcePeers, event.Answered > 0)
	c.publish(now)
}

// publish gives traffic a new view, unless what this VM knows may be old.
func (c *Control) publish(now time.Time) {
	if !c.gate.Fresh() {
		return
	}
	held := c.holder.Current()
	if !c.fresh {
		c.becameFresh(held.Catalog != nil)
	}
	if held.Catalog != nil && c.table.AdvanceOwnState(member.StateLive) {
		c.members = c.table.Members()
		c.tell()
		c.TriggerRound()
	}
	refused, problem := c.holder.NewestRefused()
	c.Views.Publish(&view.View{
		At:              now,
		Revision:        held.Revision,
		InForceSince:    c.since,
		RefusedRevision: refused,
		Problem:         problem,
		Catalog:         held.Catalog,
		Members:         c.members,
		Leaving:         c.out,
	})
}

func (c *Control) becameFresh(configured bool) {
	c.fresh = true
	c.Metrics.Add("control.fresh", 1)
	if c.gate.Alone() {
		c.Metrics.Add("control.alone", 1)
		c.Log.Warn("neither platform nor peers answer; serving on with what is known", "configured", configured)
	}
}

// tell replaces what the peers are told.
func (c *Control) tell() {
	if c.table.SetOwnAddress(c.Address()) {
		c.members = c.table.Members()
	}
	held := c.holder.Current()
	c.Publish(&exchange.State{
		Records: c.table.Records(),
		Leaving: c.leaving.Signs(),
		Config:  exchange.Config{Version: held.Version(), Files: c.files},
		Targets: c.targets(),
	})
}

// targets gives the peers of the next round: known members, and the configured peers that are not among them.
func (c *Control) targets() []unit.Address {
	all := c.table.Targets(maxTargets, c.RandIntN)
	known := map[unit.Address]bool{c.Address(): true}
	for _, m := range c.table.Members() {
		known[m.Peer] = true
	}
	for _, p := range c.Peers {
		if !known[p] {
			all = append(all, p)
		}
	}
	return all
}
