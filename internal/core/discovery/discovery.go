package discovery

import (
	"bytes"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/fleet"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/evacuation"
	"basilspan/internal/policy/routing"
	"basilspan/internal/policy/subset"
	"basilspan/internal/policy/vmcount"
)

// registryReadRefresh is how far the published RegistryReadAt may lag behind the last read before the view is published
// again without another change.
const registryReadRefresh = 5 * time.Second

// Options configure the discovery state. The function fields are its seams.
type Options struct {
	Node    unit.NodeID
	Views   *Views
	Metrics *metric.Set
	Log     *slog.Logger
	// OperatorPrefix is where operators publish the routing table, under TableKey, and the evacuations.
	OperatorPrefix registry.Prefix
	TableKey       registry.Key
	// EndpointPrefix is where the endpoints' registrations are published.
	EndpointPrefix registry.Prefix
	// DecodeTable, DecodeEndpoint and EndpointID decode published values and keys.
	DecodeTable    func(value []byte) (*routing.Table, error)
	DecodeEndpoint func(now time.Time, item registry.Item) (directory.Registration, error)
	EndpointID     func(key registry.Key) unit.EndpointID
	// Evacuated returns the data centre that an order under a key evacuates, and EvacuationKey that key.
	Evacuated     func(key registry.Key) (unit.CentreName, bool)
	EvacuationKey func(centre unit.CentreName) registry.Key
	// Calm is the time after an outage of the registry within which this VM has to be up to date.
	Calm time.Duration
	// OnPublish is called on the control goroutine after each publication of a view; nil does nothing.
	OnPublish func(now time.Time, v *View)
}

// State is the discovery state. The control goroutine owns it, except for the cache, which also answers peers.
type State struct {
	Options
	view View
	// tableValue is the published form of the table in force.
	tableValue  []byte
	directory   *directory.Directory
	evacuations *evacuation.Orders
	// returns holds the ends of evacuations in the last returnColdTime.
	returns         map[unit.CentreName]centreReturn
	endpointsListed bool
	lostSince       map[registry.Prefix]time.Time
	cache           *relayCache
	// position is the latest position in the registry's history that is known; eraKnown is unset before the first one.
	position unit.Position
	eraKnown bool
}

// Install creates the discovery state and registers its event handlers with loop.
func Install(loop *kernel.Loop, options Options) *State {
	s := &State{
		Options:   options,
		view:      View{VMs: vmcount.InitialEstimate},
		cache:     newRelayCache(),
		directory: directory.New(options.Calm),
		lostSince: make(map[registry.Prefix]time.Time),

		evacuations: evacuation.New(),
		returns:     make(map[unit.CentreName]centreReturn),
	}
	s.directory.Named = func(service unit.ServiceName) bool { return s.view.Table == nil || s.view.Table.Names(service) }
	kernel.On(loop, s.onListed)
	kernel.On(loop, s.onChanged)
	kernel.On(loop, s.onOffered)
	kernel.On(loop, s.onReadFailed)
	kernel.On(loop, s.onTick)
	kernel.On(loop, s.onCensusChanged)
	return s
}

// CachedListing returns all values that this VM knows under a prefix. Any goroutine may call it.
func (s *State) CachedListing(prefix registry.Prefix) registry.Listing {
	return s.cache.listing(prefix)
}

// AwaitChanges waits until this VM knows something under a prefix that is newer than a cursor, or ctx ends, and
// returns what is newer. Any goroutine may call it.
func (s *State) AwaitChanges(ctx context.Context, prefix registry.Prefix, after registry.Cursor) registry.Update {
	return s.cache.awaitChanges(ctx, prefix, after)
}

// onCensusChanged handles a new estimate of the number of entry VMs or a new list of candidates.
func (s *State) onCensusChanged(now time.Time, e fleet.CensusChanged) {
	s.view.VMs = e.VMs
	s.view.Candidates = e.Candidates
	s.view.CountKnown = e.CountKnown
	s.publish(now)
}

// onListed handles a full listing of a prefix, from the registry or a peer. One that a peer sent because the registry
// can't be read (FromPeer) does not count as a read of the registry.
func (s *State) onListed(now time.Time, e registry.Listed) {
	if !e.FromPeer {
		s.recordRead(now, e.Prefix)
	}
	s.recordPosition(e.Prefix, e.Position)
	if e.Prefix == s.OperatorPrefix {
		// No view may show a table without the evacuations that were published beside it.
		s.listEvacuations(now, e.Position, e.Items)
		s.applyTables(now, e.Items)
		e.Items = s.withEvacuations(e.Position, s.withTable(e.Position, e.Items))
		s.cache.replace(now, e)
		return
	}
	s.cache.replace(now, e)
	all := make([]directory.Registration, 0, len(e.Items))
	for _, item := range e.Items {
		if r, ok := s.decodeRegistration(now, item); ok {
			all = append(all, r)
		}
	}
	heldBack := s.directory.Replace(now, e.Era, all)
	s.Metrics.Add("endpoint.heldback", int64(heldBack))
	s.endpointsListed = true
	s.Log.Info("endpoints listed", "count", len(all), "unreadable", len(e.Items)-len(all), "held_back", heldBack,
		"era", e.Era, "revision", e.Revision)
	s.publishEndpoints(now, e.Revision)
}

// onChanged handles the changes of a prefix; without items it only confirms that the registry can be read.
func (s *State) onChanged(now time.Time, e registry.Changed) {
	s.recordRead(now, e.Prefix)
	s.recordPosition(e.Prefix, e.Position)
	if e.Prefix == s.OperatorPrefix {
		s.changeEvacuations(now, e.Items)
		s.applyTables(now, e.Items)
		if len(e.Items) > 0 {
			e.Items = s.withTable(e.Position, e.Items)
		}
		s.cache.applyChanges(now, e)
		return
	}
	s.cache.applyChanges(now, e)
	for _, item := range e.Items {
		s.applyRegistration(now, item)
	}
	if len(e.Items) > 0 {
		s.publishEndpoints(now, e.Revision)
	}
}

// onOffered handles values of a peer that the registry may have lost: tables, which have an order of their own, and
// evacuations that the peer holds.
func (s *State) onOffered(now time.Time, e registry.Offered) {
	if e.Prefix != s.OperatorPrefix {
		return
	}
	s.offerEvacuations(now, e.Items)
	before := s.tableVersion()
	s.applyTables(now, e.Items)
	if s.tableVersion() != before {
		s.Log.Info("newer routing table taken from a peer", "version", s.tableVersion(), "before", before)
		s.cache.substitute(now, e.Prefix, registry.Item{Key: s.TableKey, Value: s.tableValue})
	}
}

// applyRegistration applies one change of a registration to the directory. A registration that cannot be decoded
// removes the endpoint.
func (s *State) applyRegistration(now time.Time, item registry.Item) {
	id := s.EndpointID(item.Key)
	if item.Deleted {
		s.Log.Info("endpoint unregistered", "endpoint", id, "era", item.Era, "revision", item.Revision)
		s.directory.Remove(now, id, item.Position, false)
		return
	}
	r, ok := s.decodeRegistration(now, item)
	if !ok {
		s.directory.Remove(now, id, item.Position, true)
		return
	}
	heldBack := s.directory.Put(r)
	if heldBack {
		s.Metrics.Add("endpoint.heldback", 1)
	}
	s.Log.Info("endpoint registered", "endpoint", id, "service", r.Service, "address", r.Address,
		"leaving", r.Leaving, "held_back", heldBack, "era", r.Era, "revision", r.Revision)
}

// decodeRegistration decodes a registration; ok is false, and the failure counted and logged, if it is invalid.
func (s *State) decodeRegistration(now time.Time, item registry.Item) (directory.Registration, bool) {
	r, err := s.DecodeEndpoint(now, item)
	if err != nil {
		s.Metrics.Add("endpoint.unreadable", 1)
		s.Log.Warn("registration ignored", "key", item.Key, "era", item.Era, "revision", item.Revision, "error", err)
		return directory.Registration{}, false
	}
	return r, true
}

// applyTables puts a newer published routing table in force. One that cannot be decoded or is not newer leaves the last
// good one in force, and a deletion is ignored.
func (s *State) applyTables(now time.Time, items []registry.Item) {
	for _, item := range items {
		if item.Deleted || item.Key != s.TableKey || bytes.Equal(item.Value, s.tableValue) {
			continue
		}
		table, err := s.DecodeTable(item.Value)
		if err != nil {
			s.Metrics.Add("table.unreadable", 1)
			s.Log.Error("routing table ignored", "era", item.Era, "revision", item.Revision,
				"in_force", s.tableVersion(), "error", err)
			continue
		}
		if s.view.Table != nil && table.Version <= s.view.Table.Version {
			continue
		}
		s.Log.Info("routing table in force", "version", table.Version, "before", s.tableVersion(),
			"era", item.Era, "revision", item.Revision, "routes", len(table.Routes()))
		s.view.Table = table
		s.view.TableValue = item.Value
		s.tableValue = item.Value
		s.view.TableSince = now
		s.publishTable(now)
	}
}

// withTable returns what this VM relays for the items that were read under the prefix of the tables: the table in force
// takes the place of another one, of a deletion and of none, so that a VM which follows this one gets no older table than
// this one has.
func (s *State) withTable(at unit.Position, items []registry.Item) []registry.Item {
	if s.tableValue == nil {
		return items
	}
	all := slices.DeleteFunc(slices.Clone(items), func(i registry.Item) bool { return i.Key == s.TableKey })
	return append(all, registry.Item{Position: at, Key: s.TableKey, Value: s.tableValue})
}

// tableVersion returns the version of the routing table in force, or 0 if there is none.
func (s *State) tableVersion() unit.TableVersion {
	if s.view.Table == nil {
		return 0
	}
	return s.view.Table.Version
}

// onReadFailed handles a failed read of the registry. Each failure is counted, but only the first of an outage is
// logged.
func (s *State) onReadFailed(now time.Time, e registry.ReadFailed) {
	s.Metrics.Add("registry.failed", 1)
	if errors.Is(e.Err, registry.ErrEraMissing) {
		s.Metrics.Add("registry.era.missing", 1)
	}
	if e.Prefix == s.EndpointPrefix {
		s.directory.RecordRegistryFailure(e.Began)
	}
	if _, known := s.lostSince[e.Prefix]; known {
		return
	}
	s.lostSince[e.Prefix] = now
	s.Log.Warn("registry lost", "prefix", e.Prefix, "error", e.Err)
}

// recordRead records a successful read of the registry, directly or through a peer, and ends an outage of that prefix.
func (s *State) recordRead(now time.Time, prefix registry.Prefix) {
	s.view.RegistryReadAt = now
	since, known := s.lostSince[prefix]
	if !known {
		return
	}
	delete(s.lostSince, prefix)
	s.Log.Info("registry regained", "prefix", prefix, "away_s", now.Sub(since).Seconds())
	if prefix == s.EndpointPrefix {
		s.directory.RecordRegistryRecovery(now)
	}
}

// recordPosition records a position that was read. A new era means that the registry has been restored from a copy,
// which is logged and counted once, whichever prefix shows it first.
func (s *State) recordPosition(prefix registry.Prefix, p unit.Position) {
	before := s.position
	if !s.eraKnown || p.After(before) {
		s.position = p
	}
	if s.eraKnown && p.Era > before.Era {
		s.Metrics.Add("registry.restored", 1)
		s.Log.Warn("registry restored from a copy", "prefix", prefix, "era", p.Era, "revision", p.Revision,
			"era_before", before.Era, "revision_before", before.Revision)
	}
	s.eraKnown = true
}

// onTick publishes the view again when its RegistryReadAt has grown old or endpoints without a registration have
// expired.
func (s *State) onTick(now time.Time, _ kernel.Tick) {
	if s.view.Complete() && s.Views.Load().RegistryReadAt.Add(registryReadRefresh).Before(s.view.RegistryReadAt) {
		s.publish(now)
	}
	s.sweepEvacuations(now)
	if s.endpointsListed && s.directory.Sweep(now) {
		s.publishEndpoints(now, s.view.EndpointsRevision)
	}
}

// publishTable publishes a new table, with the endpoints that may get requests by it.
func (s *State) publishTable(now time.Time) {
	if s.endpointsListed {
		s.view.Endpoints = s.directory.Endpoints()
	}
	s.publish(now)
}

// publishEndpoints publishes the endpoints of the directory as of a registry revision.
func (s *State) publishEndpoints(now time.Time, revision unit.Revision) {
	s.view.Endpoints = s.directory.Endpoints()
	s.view.EndpointsRevision = revision
	s.publish(now)
}

// publish publishes a copy of the view to traffic. In a complete view the endpoints are limited to those that this VM
// may keep connections to, of the data centres that are not evacuated.
func (s *State) publish(now time.Time) {
	next := s.view
	if next.Complete() {
		next.Endpoints = s.withReturns(now, withoutCentres(next.Endpoints, next.Evacuated))
		next.Place(s.Node)
		next.Endpoints = subset.Subset(s.Node, next.ConnectionBudget, next.Endpoints)
	}
	s.Views.Publish(&next)
	if s.OnPublish != nil {
		s.OnPublish(now, &next)
	}
}
