package gateway

import (
	"time"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/outlook"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/platform/ingress"
	platformleaf "basilspan/internal/platform/leaf"
	"basilspan/internal/platform/store"
)

// install registers the services in the order in which they start; they close in reverse.
func (g *Gateway) install() error {
	metrics := metric.NewSet()
	loop := kernel.NewLoop(g.options.Now)
	pool := g.pool(metrics)
	client := store.New(g.settings.Registry)
	g.outlook(loop, metrics, pool)
	services := []kernel.Service{
		{Name: kernel.ServiceMetrics, Value: metrics},
		{Name: kernel.ServiceViews, Value: g.views},
		loop.Service(kernel.ServiceControl),
		pool.Service(kernel.ServiceEndpoint),
		{Name: kernel.ServiceRegistry, Value: client, Close: client.Close},
		g.follow(store.KeyTable, client).Service(kernel.ServiceTables, loop),
		g.follow(store.PrefixEndpoints, client).Service(kernel.ServiceEndpoints, loop),
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

func (g *Gateway) follow(prefix registry.Prefix, client *store.Client) *registry.Follower {
	return &registry.Follower{
		Prefix: prefix,
		List:   client.List,
		Watch:  client.Watch,
		Rand:   g.options.Rand,
		Log:    g.options.Log,
	}
}

func (g *Gateway) outlook(loop *kernel.Loop, metrics *metric.Set, pool *leaf.Pool) {
	outlook.Install(loop, outlook.Options{
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
	d.Ended = func(r dispatch.Record) {
		metrics.Ended(unit.SearchName(r.Route), "", r.Code, r.Took)
	}
	return d
}
