package control

import (
	"fmt"
	"time"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/exchange"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/platform"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/replay"
	"basilspan/internal/policy/revision"
)

// The origins of a configuration, in log lines.
const (
	originPlatform = "platform"
	originPeer     = "peer"
)

func (c *Control) onConfig(now time.Time, event platform.Config) {
	c.take(now, event.Revision, event.Files, originPlatform)
}

// onOffer takes the end of a fetch from a peer.
func (c *Control) onOffer(now time.Time, event exchange.FetchEnded) {
	c.gate.FetchEnded()
	delete(c.pending, event.Wanted)
	if event.Files == nil {
		c.Metrics.Add("config.unfetched", 1)
	} else {
		c.take(now, event.Revision, event.Files, originPeer)
	}
	c.publish(now)
}

// take has the policy decide about a configuration that was shown.
func (c *Control) take(now time.Time, shown unit.Revision, files []folder.File, origin string) {
	offer := revision.Offer{Revision: shown, Digest: folder.Sum(files)}
	held := c.holder.Current()
	if held.Catalog != nil && offer.Version() == held.Version() {
		c.Metrics.Add("config.old", 1)
		return
	}
	offer.Catalog, offer.Problem = build(files)
	verdict := c.holder.Apply(offer)
	c.record(now, held, offer, verdict)
	switch verdict {
	case revision.VerdictAccepted:
		c.Metrics.Add("config.accepted", 1)
	case revision.VerdictInvalid:
		c.Metrics.Add("config.invalid", 1)
		c.Log.Error("configuration refused", "revision", shown, "problem", offer.Problem, "from", origin)
	case revision.VerdictConflict:
		c.Metrics.Add("config.conflict", 1)
		c.Log.Error("one revision was shown with two contents; the higher digest is in force on every node",
			"revision", shown, "held", held.Digest, "shown", offer.Digest, "from", origin)
	case revision.VerdictOld:
		c.Metrics.Add("config.old", 1)
	}
	if c.holder.Current().Version() != held.Version() {
		c.inForce(now, files, origin)
	}
}

// build checks the files; problem is empty when they are valid. Files on which the check itself fails are refused, as
// every node would otherwise end on them.
func build(files []folder.File) (built *catalog.Catalog, problem string) {
	defer func() {
		if r := recover(); r != nil {
			built, problem = nil, fmt.Sprintf("the check failed: %v", r)
		}
	}()
	built, problems := folder.Build(files)
	if len(problems) > 0 {
		problem = problems[0].String()
	}
	return built, problem
}

// record records an offer, what was held before it and the verdict.
func (c *Control) record(now time.Time, held, offer revision.Offer, verdict revision.Verdict) {
	if c.Record == nil {
		return
	}
	c.Record(now, replay.Offer{
		Before:  replay.ConfigVersion{Revision: held.Revision, Digest: held.Digest},
		Offered: replay.ConfigVersion{Revision: offer.Revision, Digest: offer.Digest},
		Valid:   offer.Catalog != nil,
		Problem: offer.Problem,
		Verdict: verdict,
		After:   c.holder.Current().Revision,
	})
}

// inForce carries out that another configuration is held.
func (c *Control) inForce(now time.Time, files []folder.File, origin string) {
	held := c.holder.Current()
	c.Log.Info("configuration in force", "revision", held.Revision, "digest", held.Digest, "from", origin)
	c.files = files
	c.since = now
	c.leaving.Configure(held.Catalog)
	c.leavingChanged(now)
}

func (c *Control) onVMs(now time.Time, event platform.VMs) {
	if c.table.Seed(now, event.Members) {
		c.membersChanged(now)
	}
	if c.leaving.ApplyList(event.Leaving) {
		c.leavingChanged(now)
	}
}

// onBeat takes what a peer knows.
func (c *Control) onBeat(now time.Time, event exchange.Heartbeat) {
	changed := false
	for _, r := range event.Records {
		changed = c.table.Merge(now, r) || changed
	}
	if changed {
		c.membersChanged(now)
	}
	c.addSigns(now, event.Leaving)
	if c.holder.ShouldFetch(event.Version) && !c.pending[event.Version] {
		c.pending[event.Version] = true
		c.gate.FetchStarted()
		c.Fetch(event.From, event.Version)
	}
}

func (c *Control) onEndpointLeaving(now time.Time, event EndpointLeaving) {
	c.addSigns(now, []leaving.Sign{event.Sign})
}

func (c *Control) addSigns(now time.Time, signs []leaving.Sign) {
	changed := false
	for _, sign := range signs {
		if c.leaving.Add(sign) {
			changed = true
			c.Metrics.Add("leaving.sign", 1)
			c.Log.Info("endpoint is leaving", "endpoint", string(sign.Endpoint), "address", string(sign.Address))
		}
	}
	if changed {
		c.leavingChanged(now)
	}
}

// leavingChanged publishes the endpoints that get no new work, here and to the peers at once.
func (c *Control) leavingChanged(now time.Time) {
	c.out = c.leaving.Leaving()
	c.tell()
	c.TriggerRound()
	c.publish(now)
}

// membersChanged publishes the members and notes each change of state.
func (c *Control) membersChanged(now time.Time) {
	before := make(map[unit.NodeID]member.Member, len(c.members))
	for _, m := range c.members {
		before[m.ID] = m
	}
	c.members = c.table.Members()
	for _, m := range c.members {
		if was := before[m.ID]; was.State != m.State {
			c.Metrics.Add("member."+string(m.State), 1)
			c.Log.Info("member state changed", "member", string(m.ID), "incarnation", m.Incarnation,
				"from", string(was.State), "to", string(m.State))
		}
	}
	c.tell()
	c.publish(now)
}
