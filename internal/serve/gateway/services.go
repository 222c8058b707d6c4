package gateway

import (
	"context"
	"time"

	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/discovery"
	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/fleet"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/timerlag"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/platform/ingress"
	platformleaf "basilspan/internal/platform/leaf"
	"basilspan/internal/platform/store"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/shutdown"
	"basilspan/internal/policy/subset"
)

// endpointBatch is how long endpoint changes are collected before they are read. Endpoints change one by one when many
// start or leave, and a leaving endpoint still serves requests for seconds, so the delay is harmless.
const endpointBatch = 400 * time.Millisecond

// install registers the services in the order in which they start; they close in reverse order. Each service looks up
// the services it depends on by name.
func (g *Gateway) install() error {
	steps := []func() error{
		g.installBase, g.installDiscovery, g.installExchange, g.installFollowers, g.installDispatch,
		g.registerGauges, g.installPorts,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// register registers the services in this order and stops at the first error.
func (g *Gateway) register(services ...kernel.Service) error {
	for _, s := range services {
		if err := g.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// installBase registers the services that depend on no other service.
func (g *Gateway) installBase() error {
	metrics := metric.NewSet()
	client := store.New(g.settings.Registry)
	limit := g.options.Memory / accountShare
	replies := g.newAccount(metrics, "memory.replies", limit)
	peers := g.newAccount(metrics, "memory.peers", g.options.Memory/peerAccountShare)
	return g.register(
		kernel.Service{Name: kernel.ServiceMetrics, Value: metrics},
		kernel.Service{Name: kernel.ServiceReplyMemory, Value: replies},
		kernel.Service{Name: kernel.ServiceRequestMemory, Value: g.newAccount(metrics, "memory.requests", limit)},
		kernel.Service{Name: kernel.ServicePeerMemory, Value: peers},
		kernel.Service{
			Name: kernel.ServiceProbeMemory, Value: g.newAccount(metrics, "memory.probes", g.options.Memory/probeAccountShare),
		},
		kernel.Service{Name: kernel.ServiceViews, Value: g.views},
		kernel.NewLoop(g.options.Now).Service(kernel.ServiceControl),
		g.newPool(metrics, replies).Service(kernel.ServiceEndpoint),
		kernel.Service{Name: kernel.ServiceRegistry, Value: client, Close: client.Close},
		g.newLink(peers).Service(kernel.ServicePeer),
	)
}

// newPool returns the connection pool for endpoints, with the encoding of the platform's messages.
func (g *Gateway) newPool(metrics *metric.Set, replies *memory.Account) *leaf.Pool {
	pool := leaf.New(g.options.Now)
	pool.Memory = replies
	pool.Encode = platformleaf.Encode
	pool.Decode = platformleaf.Decode
	pool.Count = func(name string) { metrics.Add(name, 1) }
	return pool
}

// installDiscovery registers the discovery state, which publishes views of the routing table and the endpoints. Each
// published view also updates the connections to endpoints.
func (g *Gateway) installDiscovery() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	pool := kernel.Lookup[*leaf.Pool](f, kernel.ServiceEndpoint)
	if err := f.Err(); err != nil {
		return err
	}
	timerlag.Install(loop, metrics, g.options.Log)
	warmup := &subset.Warmup{Rand: g.options.Rand}
	state := discovery.Install(loop, discovery.Options{
		Node:           g.settings.Node,
		Views:          g.views,
		Metrics:        metrics,
		Log:            g.options.Log,
		OperatorPrefix: store.PrefixOperators,
		TableKey:       store.KeyTable,
		EndpointPrefix: store.PrefixEndpoints,
		DecodeTable:    store.DecodeTable,
		DecodeEndpoint: store.DecodeEndpoint,
		EndpointID:     store.EndpointID,
		Evacuated:      store.EvacuatedCentre,
		EvacuationKey:  store.EvacuationKey,
		Calm:           g.settings.Calm,
		OnPublish:      func(now time.Time, v *discovery.View) { g.updateConnections(now, pool, warmup, v) },
	})
	return g.register(kernel.Service{Name: kernel.ServiceDiscovery, Value: state})
}

// installExchange registers the exchange of registry values and VM counts with the other entry VMs.
func (g *Gateway) installExchange() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	state := kernel.Lookup[*discovery.State](f, kernel.ServiceDiscovery)
	if err := f.Err(); err != nil {
		return err
	}
	self := divide.Candidate{
		Node: g.settings.Node, Address: g.settings.Peers, Centre: g.settings.Centre, Power: g.settings.Power,
	}
	fleetService := &fleet.Fleet{
		Self:         self,
		Now:          g.options.Now,
		Rand:         g.options.Rand,
		Log:          g.options.Log,
		KnownValues:  state.CachedListing,
		AwaitChanges: state.AwaitChanges,
	}
	fleetService.SetSeeds(g.settings.Seeds)
	fleetService.Install(loop, link)
	return g.register(fleetService.Service(kernel.ServiceExchange))
}

// installFollowers registers two followers of the registry, one for what operators publish, the routing tables and the
// evacuations, and one for the registrations of endpoints. A follower reads the registry itself or receives changes relayed by another VM.
func (g *Gateway) installFollowers() error {
	f := kernel.NewFinder(g.kernel)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	client := kernel.Lookup[*store.Client](f, kernel.ServiceRegistry)
	fleetService := kernel.Lookup[*fleet.Fleet](f, kernel.ServiceExchange)
	if err := f.Err(); err != nil {
		return err
	}
	follow := func(prefix registry.Prefix, batch time.Duration) *registry.Follower {
		return &registry.Follower{
			Prefix:        prefix,
			Now:           g.options.Now,
			List:          client.List,
			Watch:         client.Watch,
			PeerListing:   fleetService.ListingFromSeed,
			Relay:         fleetService.AwaitSeedChanges,
			Role:          fleetService.Role,
			DetectionTime: g.settings.Calm,
			Rand:          g.options.Rand,
			Log:           g.options.Log,
			Post:          func(ctx context.Context, event any) error { return kernel.PostAny(ctx, loop, event) },
			BatchDelay:    batch,
		}
	}
	tables := follow(store.PrefixOperators, 0)
	tables.PeerValues = fleetService.ListingsFromSeeds
	return g.register(
		tables.Service(kernel.ServiceTables),
		follow(store.PrefixEndpoints, endpointBatch).Service(kernel.ServiceEndpoints),
	)
}

// installDispatch registers the dispatcher, which sends each request to endpoints or to other VMs.
func (g *Gateway) installDispatch() error {
	f := kernel.NewFinder(g.kernel)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	pool := kernel.Lookup[*leaf.Pool](f, kernel.ServiceEndpoint)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	replies := kernel.Lookup[*memory.Account](f, kernel.ServiceReplyMemory)
	if err := f.Err(); err != nil {
		return err
	}
	d := dispatch.New(g.settings.Node, g.settings.Centre, g.settings.Extra, g.options.Rand)
	d.SetDrain(g.settings.Drain)
	d.SetCold(g.settings.Cold)
	d.Now = g.options.Now
	d.Views = g.views
	d.Metrics = metrics
	d.Memory = replies
	d.Log = g.options.Log
	d.Send = pool.Send
	d.EncodeMessage = platformleaf.EncodeMessage
	d.Call = link.Call
	d.OnRequestEnd = dispatch.Report(g.options.Log, metrics, g.options.Rand)
	d.HandlePortions(link, g.Ready)
	return g.register(kernel.Service{Name: kernel.ServiceDispatch, Value: d, Close: d.Close})
}

// applySettings passes the settings that can change at run time to the services that use them. Reload calls it. The
// grace time is not among them: BeginDrain plans the stop with it and hands over the schedule.
func (g *Gateway) applySettings(settings config.Settings) {
	f := kernel.NewFinder(g.kernel)
	fleetService := kernel.Lookup[*fleet.Fleet](f, kernel.ServiceExchange)
	dispatcher := kernel.Lookup[*dispatch.Dispatcher](f, kernel.ServiceDispatch)
	if err := f.Err(); err != nil {
		g.options.Log.Error("changed settings not applied", "error", err)
		return
	}
	fleetService.SetSeeds(settings.Seeds)
	dispatcher.SetExtra(settings.Extra)
	dispatcher.SetDrain(settings.Drain)
	dispatcher.SetCold(settings.Cold)
}

// drainDispatcher passes the schedule of the planned stop to the dispatcher.
func (g *Gateway) drainDispatcher(s shutdown.Schedule) {
	d, err := kernel.Find[*dispatch.Dispatcher](g.kernel, kernel.ServiceDispatch)
	if err != nil {
		g.options.Log.Error("requests not limited to the time of the stop", "error", err)
		return
	}
	d.BeginDrain(s)
}

// announceLeave notifies the other entry VMs that this one is stopping. BeginDrain runs it in a goroutine of its own,
// and Close waits for it.
func (g *Gateway) announceLeave() {
	fleetService, err := kernel.Find[*fleet.Fleet](g.kernel, kernel.ServiceExchange)
	if err != nil {
		g.options.Log.Error("other VMs not notified of the stop", "error", err)
		return
	}
	fleetService.Leave(context.Background())
}

// registerGauges adds the gauges of the discovery state: the ages of the routing table and of the last registry read in
// seconds, or -1 if there is none yet, the version of the table, or 0, and the number of entry VMs. It also adds the
// number of requests in flight and that of evacuated data centres, and the longest wait at the endpoints with the age of
// that word, in seconds.
func (g *Gateway) registerGauges() error {
	f := kernel.NewFinder(g.kernel)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	dispatcher := kernel.Lookup[*dispatch.Dispatcher](f, kernel.ServiceDispatch)
	if err := f.Err(); err != nil {
		return err
	}
	age := func(at func(v *discovery.View) time.Time) func() any {
		return func() any {
			when := at(g.views.Load())
			if when.IsZero() {
				return -1
			}
			return g.options.Now().Sub(when).Seconds()
		}
	}
	metrics.RegisterGauge("table.age", age(func(v *discovery.View) time.Time { return v.TableSince }))
	metrics.RegisterGauge("registry.age", age(func(v *discovery.View) time.Time { return v.RegistryReadAt }))
	metrics.RegisterGauge("table.version", func() any {
		if t := g.views.Load().Table; t != nil {
			return t.Version
		}
		return 0
	})
	metrics.RegisterGauge("requests.open", func() any { return dispatcher.OpenRequests() })
	metrics.RegisterGauge("admission.wait", func() any {
		wait, _ := dispatcher.AdmissionWait()
		return wait.Seconds()
	})
	metrics.RegisterGauge("admission.age", func() any {
		_, age := dispatcher.AdmissionWait()
		return age.Seconds()
	})
	metrics.RegisterGauge("centres.evacuated", func() any { return len(g.views.Load().Evacuated) })
	metrics.RegisterGauge("vms", func() any { return g.views.Load().VMs })
	return nil
}

// installPorts registers the listening servers. The port for callers comes last, so that the load balancer's readiness
// probe is answered before callers can connect.
func (g *Gateway) installPorts() error {
	if err := ingress.InstallProbe(g.kernel, kernel.ServiceProbe, g.settings.Ready, g.Ready, g.options.Log); err != nil {
		return err
	}
	if g.settings.Metrics != "" {
		err := ingress.InstallProbe(g.kernel, kernel.ServiceMetricsPort, g.settings.Metrics, g.Ready, g.options.Log)
		if err != nil {
			return err
		}
	}
	f := kernel.NewFinder(g.kernel)
	requests := kernel.Lookup[*memory.Account](f, kernel.ServiceRequestMemory)
	replies := kernel.Lookup[*memory.Account](f, kernel.ServiceReplyMemory)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	if err := f.Err(); err != nil {
		return err
	}
	callers, err := ingress.Install(g.kernel, g.settings.Callers, ingress.Options{
		Now: g.options.Now, Log: g.options.Log, Head: g.settings.Intake.Head, Body: g.settings.Intake.Body,
		Bounds: g.callerBounds(metrics, requests, replies),
	})
	g.callers = callers
	return err
}

// updateConnections opens connections to the endpoints that this VM normally sends requests to, and closes connections
// to endpoints that no longer exist. It is called for each published view. While the number of entry VMs, and so the
// share of endpoints per VM, is not known, connections are opened only on demand: after a loss of all VMs each of them
// would otherwise connect to every endpoint at once.
func (g *Gateway) updateConnections(
	now time.Time, pool *leaf.Pool, warmup *subset.Warmup, v *discovery.View,
) {
	if !v.Complete() {
		return
	}
	if v.CountKnown {
		used := g.usedServices(v)
		isUsed := func(s unit.ServiceName) bool { return used[s] }
		for _, c := range warmup.Plan(isUsed, v.ConnectionBudget, v.Endpoints) {
			pool.Warm(c.Address, c.After)
		}
	}
	known := make(map[unit.Address]bool)
	for _, endpoints := range v.Endpoints {
		for _, e := range endpoints {
			known[e.Address] = true
		}
	}
	pool.Retain(now, known)
}

// usedServices returns the services that this VM normally sends requests to: all services that a route splits its
// requests between, and the shards of gathered routes that this VM serves.
func (g *Gateway) usedServices(v *discovery.View) map[unit.ServiceName]bool {
	used := make(map[unit.ServiceName]bool)
	for _, r := range v.Table.Routes() {
		for _, p := range r.Split {
			used[p.Service] = true
		}
		for _, s := range r.Shards {
			used[s] = used[s] || v.ServesShards(s)
		}
	}
	return used
}
