// Package control owns the control state of an entry VM: the accepted configuration, the members and the leaving
// endpoints. All of it lives on the control goroutine, which publishes views for traffic to read.
package control

import (
	"log/slog"
	"time"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/platform"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/replay"
	"basilspan/internal/policy/revision"
)

// Control is the state that the control goroutine owns.
type Control struct {
	// Record records an offered configuration and the verdict; nil records nothing.
	Record func(now time.Time, offer replay.Offer)

	log     *slog.Logger
	views   *view.Store
	metrics *metric.Set
	holder  revision.Holder
	members []member.Member
	leaving map[unit.EndpointID]bool
}

// Install makes the control state and has loop hand it the events that it decides on.
func Install(loop *kernel.Loop, views *view.Store, metrics *metric.Set, log *slog.Logger) *Control {
	c := &Control{log: log, views: views, metrics: metrics}
	kernel.On(loop, c.onConfig)
	kernel.On(loop, c.onVMs)
	kernel.On(loop, c.onTick)
	return c
}

func (c *Control) onConfig(now time.Time, event platform.Config) {
	built, problems := folder.Build(event.Files)
	offer := revision.Offer{Revision: event.Revision, Digest: folder.Sum(event.Files), Catalog: built}
	if len(problems) > 0 {
		offer.Problem = problems[0].String()
	}
	held := c.holder.Held()
	verdict := c.holder.Take(offer)
	c.record(now, held, offer, verdict)
	switch verdict {
	case revision.VerdictAccepted:
		c.metrics.Add("config.accepted", 1)
		c.log.Info("configuration in force", "revision", offer.Revision)
		c.leaving = leaving(built)
		c.publish(now)
	case revision.VerdictInvalid:
		c.metrics.Add("config.invalid", 1)
		c.log.Error("configuration refused", "revision", offer.Revision, "problem", offer.Problem)
	case revision.VerdictConflict:
		c.metrics.Add("config.conflict", 1)
		c.log.Error("one revision was shown with two contents", "revision", offer.Revision)
	case revision.VerdictOld:
		c.metrics.Add("config.old", 1)
	}
}

// record records an offer, what was held before it and the verdict.
func (c *Control) record(now time.Time, held, offer revision.Offer, verdict revision.Verdict) {
	if c.Record == nil {
		return
	}
	c.Record(now, replay.Offer{
		Held:    replay.Content{Revision: held.Revision, Digest: held.Digest},
		Offered: replay.Content{Revision: offer.Revision, Digest: offer.Digest},
		Valid:   offer.Catalog != nil,
		Problem: offer.Problem,
		Verdict: verdict,
		Force:   c.holder.Held().Revision,
	})
}

func (c *Control) onVMs(now time.Time, event platform.VMs) {
	c.members = event.Members
	c.publish(now)
}

func (c *Control) onTick(now time.Time, _ kernel.Tick) {
	c.publish(now)
}

func (c *Control) publish(now time.Time) {
	held := c.holder.Held()
	c.views.Publish(&view.View{
		At:       now,
		Revision: held.Revision,
		Catalog:  held.Catalog,
		Members:  c.members,
		Leaving:  c.leaving,
	})
}

// leaving gives the endpoints that the configuration takes out of service.
func leaving(built *catalog.Catalog) map[unit.EndpointID]bool {
	all := make(map[unit.EndpointID]bool)
	for _, s := range built.Searches {
		for _, e := range s.Endpoints {
			if e.Leaving {
				all[e.ID] = true
			}
		}
	}
	return all
}
