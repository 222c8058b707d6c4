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

// install registers the services in the order in which they start; they close in reverse.
func (g *Gateway) install() error {
	metrics := metric.NewSet()
	loop := kernel.NewLoop(g.options.Now)
	pool := g.pool(metrics)
	client := store.New(g.settings.Registry)
	believed := g.outlook(loop, metrics, pool)
	link := peer.New(g.settings.Peers)
	exchange := &fleet.Fleet{
		Self:    g.self(),
		Now:     g.options.Now,
		Rand:    g.options.Rand,
		Log:     g.options.Log,
		Held:    believed.Held,
		Changes: believed.Changes,
	}
	exchange.SetSeeds(g.settings.Seeds)
	exchange.Install(loop, link)
	dispatcher := g.dispatcher(metrics, pool, link)
	g.leave = exchange.Leave
	g.reloaded = func(settings config.Settings) {
		exchange.SetSeeds(settings.Seeds)
		dispatcher.SetExtra(settings.Extra)
	}
	g.gauges(metrics)
	services := []kernel.Service{
		{Name: kernel.ServiceMetrics, Value: metrics},
		{Name: kernel.ServiceViews, Value: g.views},
		loop.Service(kernel.ServiceControl),
		pool.Service(kernel.ServiceEndpoint),
		{Name: kernel.ServiceRegistry, Value: client, Close: client.Close},
		link.Service(kernel.ServicePeer),
		exchange.Service(kernel.ServiceExchange),
		g.follow(store.KeyTable, 0, client, exchange, loop).Service(kernel.ServiceTables),
		g.follow(store.PrefixEndpoints, endpointBatch, client, exchange, loop).Service(kernel.ServiceEndpoints),
		{Name: kernel.ServiceDispatch, Value: dispatcher},
	}
	for _, s := range services {
		if err := g.kernel.Register(s); err != nil {
			return err
		}
	}
	return g.ports()
}

// gauges adds the ages of what this VM believes, in seconds, -1 while it knows nothing.
func (g *Gateway) gauges(metrics *metric.Set) {
	age := func(at func(v *outlook.View) time.Time) func() any {
		return func() any {
			when := at(g.views.Load())
			if when.IsZero() {
				return -1
			}
			return g.options.Now().Sub(when).Seconds()
		}
	}
	metrics.Gauge("table.age", age(func(v *outlook.View) time.Time { return v.TableAt }))
	metrics.Gauge("registry.age", age(func(v *outlook.View) time.Time { return v.Heard }))
	metrics.Gauge("table.version", func() any {
		if t := g.views.Load().Table; t != nil {
			return t.Version
		}
		return 0
	})
	metrics.Gauge("vms", func() any { return g.views.Load().VMs })
}

// ports registers what others call, the port for callers last, so that the balancer can be answered sooner.
func (g *Gateway) ports() error {
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

func (g *Gateway) pool(metrics *metric.Set) *leaf.Pool {
	pool := leaf.New(g.options.Now)
	pool.Encode = platformleaf.Encode
	pool.Decode = platformleaf.Decode
	pool.Count = func(name string) { metrics.Add(name, 1) }
	return pool
}

func (g *Gateway) follow(
	prefix registry.Prefix, batch time.Duration, client *store.Client, exchange *fleet.Fleet,
	loop *kernel.Loop,
) *registry.Follower {
	return &registry.Follower{
		Prefix: prefix,
		List:   client.List,
		Watch:  client.Watch,
		Now:    g.options.Now,
		Peers:  exchange.Listing,
		Relay:  exchange.Relay,
		Role:   exchange.Role,
		Rand:   g.options.Rand,
		Log:    g.options.Log,
		Batch:  batch,
		Post:   func(ctx context.Context, event any) error { return kernel.PostAny(ctx, loop, event) },
	}
}

func (g *Gateway) outlook(loop *kernel.Loop, metrics *metric.Set, pool *leaf.Pool) *outlook.Outlook {
	return outlook.Install(loop, outlook.Options{
		Node:           g.settings.Node,
		Views:          g.views,
		Metrics:        metrics,
		Log:            g.options.Log,
		Tables:         store.KeyTable,
		Endpoints:      store.PrefixEndpoints,
		DecodeTable:    store.Table,
		DecodeEndpoint: store.Endpoint,
		EndpointID:     store.EndpointID,
		Published:      func(_ time.Time, v *outlook.View) { g.prepare(pool, v) },
	})
}

// prepare opens connections to the endpoints that this VM sends requests to and closes those to endpoints that are gone.
// While it is not known how the VMs divide the endpoints, connections are made when they are needed, since after a loss
// of all VMs each of them would otherwise connect to every endpoint at once.
func (g *Gateway) prepare(pool *leaf.Pool, v *outlook.View) {
	if !v.Complete() {
		return
	}
	known := make(map[unit.Address]bool)
	used := g.used(v)
	for service, endpoints := range v.Endpoints {
		for _, e := range endpoints {
			known[e.Address] = true
			if v.Known && used[service] && !e.Lapsed {
				pool.Warm(e.Address)
			}
		}
	}
	pool.Retain(known)
}

// used gives the services that this VM sends requests to as a rule.
func (g *Gateway) used(v *outlook.View) map[unit.ServiceName]bool {
	used := make(map[unit.ServiceName]bool)
	for _, r := range v.Table.Routes() {
		for _, p := range r.Split {
			used[p.Service] = true
		}
		for i, s := range r.Shards {
			used[s] = used[s] || v.Mine(g.settings.Node, r, i)
		}
	}
	return used
}

// self is this VM as other VMs are told of it.
func (g *Gateway) self() census.Caller {
	mate := divide.Mate{Node: g.settings.Node, Address: g.settings.Peers, Power: g.settings.Power}
	return census.Caller{Mate: mate, Centre: g.settings.Centre}
}

func (g *Gateway) dispatcher(metrics *metric.Set, pool *leaf.Pool, link *peer.Link) *dispatch.Dispatcher {
	d := dispatch.New(g.settings.Node, g.settings.Centre, g.settings.Extra, g.options.Rand)
	d.Now = g.options.Now
	d.Views = g.views
	d.Metrics = metrics
	d.Log = g.options.Log
	d.Send = pool.Send
	d.Prepare = platformleaf.Prepare
	d.Call = link.Call
	d.AnswerPortions(link, g.Ready)
	d.Ended = dispatch.Report(g.options.Log, metrics, g.options.Rand)
	return d
}
