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

// The origins of a configuration in log messages.
const (
	originPlatform = "platform"
	originPeer     = "peer"
)

// onConfig handles a configuration that was read from the platform; offerConfig decides whether it comes into force.
func (c *Control) onConfig(now time.Time, event platform.Config) {
	c.offerConfig(now, event.Revision, event.Files, originPlatform)
}

// onFetchEnded handles the end of a fetch of a configuration from a peer. A failed fetch is only counted.
func (c *Control) onFetchEnded(now time.Time, event exchange.FetchEnded) {
	c.freshness.FetchEnded()
	delete(c.fetching, event.Wanted)
	if event.Files == nil {
		c.Metrics.Add("config.unfetched", 1)
	} else {
		c.offerConfig(now, event.Revision, event.Files, originPeer)
	}
	c.publishView(now)
}

// offerConfig offers a configuration to the policy, counts and logs the verdict, and applies the configuration that is
// then in force if it is another one.
func (c *Control) offerConfig(now time.Time, offered unit.Revision, files []folder.File, origin string) {
	offer := revision.Offer{Revision: offered, Digest: folder.Sum(files)}
	current := c.selector.Current()
	if current.Catalog != nil && offer.Version() == current.Version() {
		c.Metrics.Add("config.old", 1)
		return
	}
	offer.Catalog, offer.Problem = buildCatalog(files)
	verdict := c.selector.Apply(offer)
	c.recordOffer(now, current, offer, verdict)
	switch verdict {
	case revision.VerdictAccepted:
		c.Metrics.Add("config.accepted", 1)
	case revision.VerdictInvalid:
		c.Metrics.Add("config.invalid", 1)
		c.Log.Error("configuration refused", "revision", offered, "problem", offer.Problem, "from", origin)
	case revision.VerdictConflict:
		c.Metrics.Add("config.conflict", 1)
		c.Log.Error("one revision was published with two contents; every VM uses the one with the higher digest",
			"revision", offered, "held", current.Digest, "shown", offer.Digest, "from", origin)
	case revision.VerdictOld:
		c.Metrics.Add("config.old", 1)
	}
	if c.selector.Current().Version() != current.Version() {
		c.applyConfig(now, files, origin)
	}
}

// buildCatalog builds the catalog of a configuration. problem is empty if the files are valid. A panic is recovered and
// refuses the files, as they would otherwise crash every VM.
func buildCatalog(files []folder.File) (built *catalog.Catalog, problem string) {
	defer func() {
		if r := recover(); r != nil {
			built, problem = nil, fmt.Sprintf("building the catalog panicked: %v", r)
		}
	}()
	built, problems := folder.Build(files)
	if len(problems) > 0 {
		problem = problems[0].String()
	}
	return built, problem
}

// recordOffer records an offer, the configuration held before it and the verdict.
func (c *Control) recordOffer(now time.Time, current, offer revision.Offer, verdict revision.Verdict) {
	if c.Record == nil {
		return
	}
	c.Record(now, replay.Offer{
		Before:  replay.ConfigVersion{Revision: current.Revision, Digest: current.Digest},
		Offered: replay.ConfigVersion{Revision: offer.Revision, Digest: offer.Digest},
		Valid:   offer.Catalog != nil,
		Problem: offer.Problem,
		Verdict: verdict,
		After:   c.selector.Current().Revision,
	})
}

// applyConfig logs a configuration that has come into force, drops the signs of leaving endpoints that it makes
// obsolete, and publishes it.
func (c *Control) applyConfig(now time.Time, files []folder.File, origin string) {
	current := c.selector.Current()
	c.Log.Info("configuration in force", "revision", current.Revision, "digest", current.Digest, "from", origin)
	c.configFiles = files
	c.configSince = now
	c.leaving.Configure(current.Catalog)
	c.publishLeaving(now)
}

// onVMs merges the platform's list of VMs and of leaving endpoints and publishes what has changed. Entries that cannot be
// decoded are counted, and logged when their number changes.
func (c *Control) onVMs(now time.Time, event platform.VMs) {
	if event.Unreadable != c.unreadableVMs {
		c.unreadableVMs = event.Unreadable
		c.Log.Warn("entries of the list of VMs ignored", "count", event.Unreadable)
	}
	c.Metrics.Add("platform.unreadable", int64(event.Unreadable))
	if c.memberTable.Seed(now, event.Members) {
		c.publishMembers(now)
	}
	if c.leaving.ApplyList(event.Leaving) {
		c.publishLeaving(now)
	}
}

// onHeartbeat merges what a peer knows and fetches its configuration if that is newer.
func (c *Control) onHeartbeat(now time.Time, event exchange.Heartbeat) {
	changed := false
	for _, r := range event.Records {
		changed = c.memberTable.Merge(now, r) || changed
	}
	if changed {
		c.publishMembers(now)
	}
	c.addLeaving(now, event.Leaving)
	if c.selector.ShouldFetch(event.Version) && !c.fetching[event.Version] {
		c.fetching[event.Version] = true
		c.freshness.FetchStarted()
		c.Fetch(event.From, event.Version)
	}
}

// onEndpointLeaving handles an endpoint's own sign that it is leaving, which came with a response.
func (c *Control) onEndpointLeaving(now time.Time, event EndpointLeaving) {
	c.addLeaving(now, []leaving.Sign{event.Sign})
}

// addLeaving adds signs of leaving endpoints, and publishes, counts and logs those that are new.
func (c *Control) addLeaving(now time.Time, signs []leaving.Sign) {
	changed := false
	for _, sign := range signs {
		if c.leaving.Add(sign) {
			changed = true
			c.Metrics.Add("leaving.sign", 1)
			c.Log.Info("endpoint is leaving", "endpoint", string(sign.Endpoint), "address", string(sign.Address))
		}
	}
	if changed {
		c.publishLeaving(now)
	}
}

// publishLeaving publishes the endpoints that get no new requests, to traffic and at once to the peers.
func (c *Control) publishLeaving(now time.Time) {
	c.leavingEndpoints = c.leaving.Leaving()
	c.publishState()
	c.TriggerRound()
	c.publishView(now)
}

// publishMembers publishes the members to traffic and for the next round, and counts and logs each change of state.
func (c *Control) publishMembers(now time.Time) {
	before := make(map[unit.NodeID]member.Member, len(c.members))
	for _, m := range c.members {
		before[m.ID] = m
	}
	c.members = c.memberTable.Members()
	for _, m := range c.members {
		if was := before[m.ID]; was.State != m.State {
			c.Metrics.Add("member."+string(m.State), 1)
			c.Log.Info("member state changed", "member", string(m.ID), "incarnation", m.Incarnation,
				"from", string(was.State), "to", string(m.State))
		}
	}
	c.publishState()
	c.publishView(now)
}
