package gateway

import (
	"context"
	"time"

	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/fleet"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/outlook"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/platform/ingress"
	platformleaf "basilspan/internal/platform/leaf"
	"basilspan/internal/platform/store"
	"basilspan/internal/policy/census"
	"basilspan/internal/policy/divide"
)

// endpointBatch is how long changes of endpoints gather before they are read. Endpoints change one by one when many
// start or leave, and one that leaves serves on for seconds.
const endpointBatch = 400 * time.Millisecond

// install registers the services in the order in which they start; they close in reverse. Each finds those that it needs
// by name.
func (g *Gateway) install() error {
	steps := []func() error{
		g.installBase, g.installDiscovery, g.installExchange, g.installFollowers, g.installDispatch, g.registerGauges, g.installPorts,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) register(services ...kernel.Service) error {
	for _, s := range services {
		if err := g.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// installBase registers the services that need no other.
func (g *Gateway) installBase() error {
	metrics := metric.NewSet()
	client := store.New(g.settings.Registry)
	return g.register(
		kernel.Service{Name: kernel.ServiceMetrics, Value: metrics},
		kernel.Service{Name: kernel.ServiceViews, Value: g.views},
		kernel.NewLoop(g.options.Now).Service(kernel.ServiceControl),
		g.newPool(metrics).Service(kernel.ServiceEndpoint),
		kernel.Service{Name: kernel.ServiceRegistry, Value: client, Close: client.Close},
		peer.New(g.settings.Peers).Service(kernel.ServicePeer),
	)
}

func (g *Gateway) newPool(metrics *metric.Set) *leaf.Pool {
	pool := leaf.New(g.options.Now)
	pool.Encode = platformleaf.Encode
	pool.Decode = platformleaf.Decode
	pool.Count = func(name string) { metrics.Add(name, 1) }
	return pool
}

func (g *Gateway) installDiscovery() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	pool := kernel.Lookup[*leaf.Pool](f, kernel.ServiceEndpoint)
	if err := f.Err(); err != nil {
		return err
	}
	state := outlook.Install(loop, outlook.Options{
		Node:           g.settings.Node,
		Views:          g.views,
		Metrics:        metrics,
		Log:            g.options.Log,
		TablePrefix:    store.KeyTable,
		EndpointPrefix: store.PrefixEndpoints,
		DecodeTable:    store.DecodeTable,
		DecodeEndpoint: store.DecodeEndpoint,
		EndpointID:     store.EndpointID,
		Calm:           g.settings.Calm,
		OnPublish:      func(_ time.Time, v *outlook.View) { g.updateConnections(pool, v) },
	})
	return g.register(kernel.Service{Name: kernel.ServiceDiscovery, Value: state})
}

func (g *Gateway) installExchange() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	state := kernel.Lookup[*outlook.State](f, kernel.ServiceDiscovery)
	if err := f.Err(); err != nil {
		return err
	}
	self := divide.Candidate{Node: g.settings.Node, Address: g.settings.Peers, Power: g.settings.Power}
	exchange := &fleet.Fleet{
		Self:         census.Caller{Candidate: self, Centre: g.settings.Centre},
		Now:          g.options.Now,
		Rand:         g.options.Rand,
		Log:          g.options.Log,
		KnownValues:  state.CachedListing,
		AwaitChanges: state.AwaitChanges,
	}
	exchange.SetSeeds(g.settings.Seeds)
	exchange.Install(loop, link)
	return g.register(exchange.Service(kernel.ServiceExchange))
}

// installFollowers registers what follows the routing tables and the endpoints' registrations.
func (g *Gateway) installFollowers() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	client := kernel.Lookup[*store.Client](f, kernel.ServiceRegistry)
	exchange := kernel.Lookup[*fleet.Fleet](f, kernel.ServiceExchange)
	if err := f.Err(); err != nil {
		return err
	}
	follow := func(prefix registry.Prefix, batch time.Duration) *registry.Follower {
		return &registry.Follower{
			Prefix:        prefix,
			Now:           g.options.Now,
			List:          client.List,
			Watch:         client.Watch,
			PeerListing:   exchange.ListingFromSeed,
			Relay:         exchange.AwaitSeedChanges,
			Role:          exchange.Role,
			DetectionTime: g.settings.Calm,
			Rand:          g.options.Rand,
			Log:           g.options.Log,
			Post:          func(ctx context.Context, event any) error { return kernel.PostAny(ctx, loop, event) },
			BatchDelay:    batch,
		}
	}
	return g.register(
		follow(store.KeyTable, 0).Service(kernel.ServiceTables),
		follow(store.PrefixEndpoints, endpointBatch).Service(kernel.ServiceEndpoints),
	)
}

func (g *Gateway) installDispatch() error {
	f := kernel.NewFinder(g.kernel)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	pool := kernel.Lookup[*leaf.Pool](f, kernel.ServiceEndpoint)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	if err := f.Err(); err != nil {
		return err
	}
	d := dispatch.New(g.settings.Node, g.settings.Centre, g.settings.Extra, g.options.Rand)
	d.Now = g.options.Now
	d.Views = g.views
	d.Metrics = metrics
	d.Log = g.options.Log
	d.Send = pool.Send
	d.EncodeMessage = platformleaf.EncodeMessage
	d.Call = link.Call
	d.OnRequestEnd = dispatch.Report(g.options.Log, metrics, g.options.Rand)
	d.HandlePortions(link, g.Ready)
	return g.register(kernel.Service{Name: kernel.ServiceDispatch, Value: d})
}

// applySettings hands changed settings to the services.
func (g *Gateway) applySettings(settings config.Settings) {
	f := kernel.NewFinder(g.kernel)
	exchange := kernel.Lookup[*fleet.Fleet](f, kernel.ServiceExchange)
	dispatcher := kernel.Lookup[*dispatch.Dispatcher](f, kernel.ServiceDispatch)
	if err := f.Err(); err != nil {
		g.options.Log.Error("settings not handed on", "error", err)
		return
	}
	exchange.SetSeeds(settings.Seeds)
	dispatcher.SetExtra(settings.Extra)
}

// announceLeave tells the other entry VMs that this one is stopping.
func (g *Gateway) announceLeave() {
	exchange, err := kernel.Find[*fleet.Fleet](g.kernel, kernel.ServiceExchange)
	if err != nil {
		g.options.Log.Error("the other VMs are not told of the stop", "error", err)
		return
	}
	exchange.Leave(context.Background())
}

// registerGauges adds the ages of what this VM believes, in seconds, -1 while it knows nothing.
func (g *Gateway) registerGauges() error {
	metrics, err := kernel.Find[*metric.Set](g.kernel, kernel.ServiceMetrics)
	if err != nil {
		return err
	}
	age := func(at func(v *outlook.View) time.Time) func() any {
		return func() any {
			when := at(g.views.Load())
			if when.IsZero() {
				return -1
			}
			return g.options.Now().Sub(when).Seconds()
		}
	}
	metrics.RegisterGauge("table.age", age(func(v *outlook.View) time.Time { return v.TableSince }))
	metrics.RegisterGauge("registry.age", age(func(v *outlook.View) time.Time { return v.RegistryReadAt }))
	metrics.RegisterGauge("table.version", func() any {
		if t := g.views.Load().Table; t != nil {
			return t.Version
		}
		return 0
	})
	metrics.RegisterGauge("vms", func() any { return g.views.Load().VMs })
	return nil
}

// installPorts registers what others call, the port for callers last, so that the balancer can be answered sooner.
func (g *Gateway) installPorts() error {
	if err := ingress.InstallProbe(g.kernel, kernel.ServiceProbe, g.settings.Ready, g.Ready); err != nil {
		return err
	}
	if g.settings.Metrics != "" {
		err := ingress.InstallProbe(g.kernel, kernel.ServiceMetricsPort, g.settings.Metrics, g.Ready)
		if err != nil {
			return err
		}
	}
	callers, err := ingress.Install(g.kernel, g.settings.Callers, g.options.Now, finishTime(g.settings.Grace))
	g.callers = callers
	return err
}

// updateConnections opens connections to the endpoints that this VM sends requests to and closes those to endpoints that are gone.
// While it is not known how the VMs divide the endpoints, connections are made when they are needed, since after a loss
// of all VMs each of them would otherwise connect to every endpoint at once.
func (g *Gateway) updateConnections(pool *leaf.Pool, v *outlook.View) {
	if !v.Complete() {
		return
	}
	known := make(map[unit.Address]bool)
	used := g.usedServices(v)
	for service, endpoints := range v.Endpoints {
		for _, e := range endpoints {
			known[e.Address] = true
			if v.CountKnown && used[service] && !e.Lapsed {
				pool.Warm(e.Address)
			}
		}
	}
	pool.Retain(known)
}

// usedServices gives the services that this VM sends requests to as a rule.
func (g *Gateway) usedServices(v *outlook.View) map[unit.ServiceName]bool {
	used := make(map[unit.ServiceName]bool)
	for _, r := range v.Table.Routes() {
		for _, p := range r.Split {
			used[p.Service] = true
		}
		for i, s := range r.Shards {
			used[s] = used[s] || v.ServesShard(g.settings.Node, r, i)
		}
	}
	return used
}
