package gateway

import (
	"time"

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
		Node:  g.settings.Node,
		Seeds: g.settings.Seeds,
		Now:   g.options.Now,
		Rand:  g.options.Rand,
		Log:   g.options.Log,
		Held:  believed.Held,
	}
	exchange.Install(loop, link)
	services := []kernel.Service{
		{Name: kernel.ServiceMetrics, Value: metrics},
		{Name: kernel.ServiceViews, Value: g.views},
		loop.Service(kernel.ServiceControl),
		pool.Service(kernel.ServiceEndpoint),
		{Name: kernel.ServiceRegistry, Value: client, Close: client.Close},
		link.Service(kernel.ServicePeer),
		exchange.Service(kernel.ServiceExchange),
		g.follow(store.KeyTable, 0, client, exchange).Service(kernel.ServiceTables, loop),
		g.follow(store.PrefixEndpoints, endpointBatch, client, exchange).Service(kernel.ServiceEndpoints, loop),
		{Name: kernel.ServiceDispatch, Value: g.dispatcher(metrics, pool)},
	}
	for _, s := range services {
		if err := g.kernel.Register(s); err != nil {
			return err
		}
	}
	return g.ports()
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
	callers, err := ingress.Install(g.kernel, g.settings.Callers, g.options.Now)
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
) *registry.Follower {
	return &registry.Follower{
		Prefix: prefix,
		List:   client.List,
		Watch:  client.Watch,
		Peers:  exchange.Listing,
		Rand:   g.options.Rand,
		Log:    g.options.Log,
		Batch:  batch,
	}
}

func (g *Gateway) outlook(loop *kernel.Loop, metrics *metric.Set, pool *leaf.Pool) *outlook.Outlook {
	return outlook.Install(loop, outlook.Options{
		Views:          g.views,
		Metrics:        metrics,
		Log:            g.options.Log,
		Tables:         store.KeyTable,
		Endpoints:      store.PrefixEndpoints,
		DecodeTable:    store.Table,
		DecodeEndpoint: store.Endpoint,
		EndpointID:     store.EndpointID,
		Published:      func(_ time.Time, v *outlook.View) { prepare(pool, v) },
	})
}

// prepare opens connections to the endpoints that requests may go to and closes those to others.
func prepare(pool *leaf.Pool, v *outlook.View) {
	if !v.Complete() {
		return
	}
	known := make(map[unit.Address]bool)
	used := v.Table.Used()
	for service, endpoints := range v.Endpoints {
		for _, e := range endpoints {
			known[e.Address] = true
			if used[service] && !e.Lapsed {
				pool.Warm(e.Address)
			}
		}
	}
	pool.Retain(known)
}

func (g *Gateway) dispatcher(metrics *metric.Set, pool *leaf.Pool) *dispatch.Dispatcher {
	d := dispatch.New(g.settings.Centre, g.settings.Extra, g.options.Rand)
	d.Now = g.options.Now
	d.Views = g.views
	d.Metrics = metrics
	d.Send = pool.Send
	d.Prepare = platformleaf.Prepare
	d.Ended = dispatch.Report(g.options.Log, metrics, g.options.Rand)
	return d
}
