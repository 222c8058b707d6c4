package outlook

import (
	"context"
	"log/slog"
	"time"

	"basilspan/internal/core/fleet"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/census"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/reach"
	"basilspan/internal/policy/routing"
)

// heardPeriod is how old a view's time of the registry's last answer may grow while the registry answers.
const heardPeriod = 5 * time.Second

// Options are what the belief works with. The function fields are its seams.
type Options struct {
	Node    unit.NodeID
	Views   *Views
	Metrics *metric.Set
	Log     *slog.Logger
	// TablePrefix and Endpoints are the prefixes under which they are published.
	TablePrefix    registry.Prefix
	EndpointPrefix registry.Prefix
	// DecodeTable, DecodeEndpoint and EndpointID read published values and keys.
	DecodeTable    func(value []byte) (*routing.Table, error)
	DecodeEndpoint func(now time.Time, item registry.Item) (directory.Registration, error)
	EndpointID     func(key registry.Key) unit.EndpointID
	// Calm is how long after an outage of the registry the VM has to be up to date.
	Calm time.Duration
	// OnPublish is told of each new view.
	OnPublish func(now time.Time, v *View)
}

// State is the state that the control goroutine owns.
type State struct {
	Options
	view      View
	directory *directory.Directory
	listed    bool
	lost      map[registry.Prefix]time.Time
	held      *held
}

// Install makes the belief and has loop hand it the events that it decides on.
func Install(loop *kernel.Loop, options Options) *State {
	o := &State{
		Options:   options,
		view:      View{VMs: census.InitialEstimate},
		held:      newHeld(),
		directory: directory.New(options.Calm),
		lost:      make(map[registry.Prefix]time.Time),
	}
	kernel.On(loop, o.onListed)
	kernel.On(loop, o.onChanged)
	kernel.On(loop, o.onLost)
	kernel.On(loop, o.onTick)
	kernel.On(loop, o.onCounted)
	return o
}

// CachedListing gives what is published under a prefix, as far as it is known here; any goroutine may call it.
func (o *State) CachedListing(prefix registry.Prefix) registry.Listing {
	return o.held.listing(prefix)
}

// AwaitChanges gives what is published under a prefix and newer than a revision, as soon as something is known here or ctx
// ends; any goroutine may call it.
func (o *State) AwaitChanges(ctx context.Context, prefix registry.Prefix, after unit.Revision) registry.Update {
	return o.held.changes(ctx, prefix, after)
}

func (o *State) onCounted(now time.Time, e fleet.CensusChanged) {
	o.view.VMs = e.VMs
	o.view.Candidates = e.Candidates
	o.view.CountReliable = e.CountKnown
	o.publish(now)
}

func (o *State) onListed(now time.Time, e registry.Listed) {
	if !e.FromPeer {
		o.regained(now, e.Prefix)
	}
	o.held.replace(now, e)
	if e.Prefix == o.TablePrefix {
		o.takeTables(now, e.Items)
		return
	}
	all := make([]directory.Registration, 0, len(e.Items))
	for _, item := range e.Items {
		if r, ok := o.decode(now, item); ok {
			all = append(all, r)
		}
	}
	o.directory.Replace(now, all)
	o.listed = true
	o.Log.Info("endpoints listed", "count", len(all), "unreadable", len(e.Items)-len(all), "revision", e.Revision)
	o.publishEndpoints(now, e.Revision)
}

func (o *State) onChanged(now time.Time, e registry.Changed) {
	o.regained(now, e.Prefix)
	o.held.change(now, e)
	if e.Prefix == o.TablePrefix {
		o.takeTables(now, e.Items)
		return
	}
	for _, item := range e.Items {
		o.takeEndpoint(now, item)
	}
	if len(e.Items) > 0 {
		o.publishEndpoints(now, e.Revision)
	}
}

// takeEndpoint takes one change of a registration.
func (o *State) takeEndpoint(now time.Time, item registry.Item) {
	id := o.EndpointID(item.Key)
	if item.Deleted {
		o.Log.Info("endpoint unregistered", "endpoint", id, "revision", item.Revision)
		o.directory.Remove(now, id, item.Revision, false)
		return
	}
	r, ok := o.decode(now, item)
	if !ok {
		o.directory.Remove(now, id, item.Revision, true)
		return
	}
	o.Log.Info("endpoint registered", "endpoint", id, "service", r.Service, "address", r.Address,
		"leaving", r.Leaving, "revision", r.Revision)
	o.directory.Put(r)
}

func (o *State) decode(now time.Time, item registry.Item) (directory.Registration, bool) {
	r, err := o.DecodeEndpoint(now, item)
	if err != nil {
		o.Metrics.Add("endpoint.unreadable", 1)
		o.Log.Warn("registration ignored", "key", item.Key, "revision", item.Revision, "error", err)
		return directory.Registration{}, false
	}
	return r, true
}

// takeTables takes published routing tables; one that cannot be read or is older leaves the last good one in force.
func (o *State) takeTables(now time.Time, items []registry.Item) {
	for _, item := range items {
		if item.Deleted || string(item.Key) != string(o.TablePrefix) {
			continue
		}
		table, err := o.DecodeTable(item.Value)
		if err != nil {
			o.Metrics.Add("table.unreadable", 1)
			o.Log.Error("routing table ignored", "revision", item.Revision, "in_force", o.version(), "error", err)
			continue
		}
		if o.view.Table != nil && table.Version <= o.view.Table.Version {
			continue
		}
		o.Log.Info("routing table in force", "version", table.Version, "before", o.version(),
			"revision", item.Revision, "routes", len(table.Routes()))
		o.view.Table = table
		o.view.TableSince = now
		o.publish(now)
	}
}

func (o *State) version() unit.TableVersion {
	if o.view.Table == nil {
		return 0
	}
	return o.view.Table.Version
}

func (o *State) onLost(now time.Time, e registry.ReadFailed) {
	o.Metrics.Add("registry.failed", 1)
	if e.Prefix == o.EndpointPrefix {
		o.directory.RecordRegistryFailure(e.Began)
	}
	if _, known := o.lost[e.Prefix]; known {
		return
	}
	o.lost[e.Prefix] = now
	o.Log.Warn("registry lost", "prefix", e.Prefix, "error", e.Err)
}

// regained takes an answer of the registry.
func (o *State) regained(now time.Time, prefix registry.Prefix) {
	o.view.RegistryReadAt = now
	since, known := o.lost[prefix]
	if !known {
		return
	}
	delete(o.lost, prefix)
	o.Log.Info("registry regained", "prefix", prefix, "away_s", now.Sub(since).Seconds())
	if prefix == o.EndpointPrefix {
		o.directory.RecordRegistryRecovery(now)
	}
}

func (o *State) onTick(now time.Time, _ kernel.Tick) {
	if o.view.Complete() && o.Views.Load().RegistryReadAt.Add(heardPeriod).Before(o.view.RegistryReadAt) {
		o.publish(now)
	}
	if o.listed && o.directory.Sweep(now) {
		o.publishEndpoints(now, o.view.EndpointsRevision)
	}
}

func (o *State) publishEndpoints(now time.Time, at unit.Revision) {
	o.view.Endpoints = o.directory.Endpoints()
	o.view.EndpointsRevision = at
	o.publish(now)
}

// users gives how many VMs send requests to the endpoints of each service that is a shard of a divided search.
func users(v *View) map[unit.ServiceName]int {
	all := make(map[unit.ServiceName]int)
	for _, r := range v.Table.Routes() {
		groups := divide.GroupCount(len(r.Shards), len(v.Candidates))
		for _, s := range r.Shards {
			all[s] = max(all[s], (v.VMs+groups-1)/groups)
		}
	}
	return all
}

// publish gives traffic a new view, with the endpoints that this VM may keep connections to.
func (o *State) publish(now time.Time) {
	next := o.view
	if next.Complete() {
		next.users = users(&next)
		next.Endpoints = reach.Subset(o.Node, next.Share, next.Endpoints)
	}
	o.Views.Publish(&next)
	if o.OnPublish != nil {
		o.OnPublish(now, &next)
	}
}
