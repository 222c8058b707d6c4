package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/control"
	"basilspan/internal/core/exchange"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/route"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/link/platform"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/serve/caller"
	"basilspan/internal/serve/operator"
)

// endpointConnections is how many connections one entry VM opens to one endpoint.
const endpointConnections unit.Connections = 4

// install registers the services in the order in which they start; each finds those before it by name.
func (e *Entry) install() error {
	steps := []func(k *kernel.Kernel) error{
		e.addState,
		e.addTrace,
		e.addControl,
		e.addPeer,
		e.addExchange,
		e.addPlatform,
		e.installControl,
		e.addEndpoint,
		e.addRoute,
		e.addQuery,
		e.addOperator,
		e.addCaller,
	}
	for _, step := range steps {
		if err := step(e.kernel); err != nil {
			return err
		}
	}
	return nil
}

// addState adds what the other services read and count in.
func (e *Entry) addState(k *kernel.Kernel) error {
	return errors.Join(
		k.Register(kernel.Service{Name: kernel.ServiceSettings, Value: e.settings}),
		k.Register(kernel.Service{Name: kernel.ServiceMetrics, Value: metric.NewSet()}),
		k.Register(kernel.Service{Name: kernel.ServiceViews, Value: view.NewStore()}),
	)
}

func (e *Entry) addTrace(k *kernel.Kernel) error {
	recorder := trace.New(e.options.Now)
	recorder.Out = e.options.Trace
	return k.Register(recorder.Service(kernel.ServiceTrace))
}

func (e *Entry) addControl(k *kernel.Kernel) error {
	return k.Register(kernel.NewLoop(e.options.Now).Service(kernel.ServiceControl))
}

func (e *Entry) addPeer(k *kernel.Kernel) error {
	return k.Register(peer.New(e.settings.Peer).Service(kernel.ServicePeer))
}

func (e *Entry) addExchange(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	if err := f.Err(); err != nil {
		return err
	}
	service := exchange.New(loop, link, e.options.Now)
	service.SelfAddress = e.PeerAddress
	return k.Register(service.Service(kernel.ServiceExchange))
}

func (e *Entry) addPlatform(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	if err := f.Err(); err != nil {
		return err
	}
	return k.Register(platform.New(e.settings.Platform, loop, e.options.Now).Service(kernel.ServicePlatform))
}

// installControl gives the control goroutine its state and the services that it works with.
func (e *Entry) installControl(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	views := kernel.Lookup[*view.Store](f, kernel.ServiceViews)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	peers := kernel.Lookup[*exchange.Service](f, kernel.ServiceExchange)
	watcher := kernel.Lookup[*platform.Watcher](f, kernel.ServicePlatform)
	recorder := kernel.Lookup[*trace.Recorder](f, kernel.ServiceTrace)
	if err := f.Err(); err != nil {
		return err
	}
	control.Install(loop, e.options.Now(), control.Options{
		Node:            e.settings.Node,
		Centre:          e.settings.Centre,
		Peers:           e.settings.Peers,
		Views:           views,
		Metrics:         metrics,
		Log:             e.options.Log,
		Address:         e.PeerAddress,
		Publish:         peers.Publish,
		TriggerRound:    peers.TriggerRound,
		Fetch:           peers.Fetch,
		RefreshPlatform: watcher.Refresh,
		RandIntN:        rand.IntN,
		Record:          recorder.RecordOffer,
	})
	return nil
}

func (e *Entry) addEndpoint(k *kernel.Kernel) error {
	client := endpoint.New(e.options.Now, endpointConnections)
	return k.Register(kernel.Service{Name: kernel.ServiceEndpoint, Value: client, Close: client.Close})
}

// addRoute adds the router. A view is checked twice: before an attempt goes to the endpoint's owner, and there before
// it goes to the endpoint. Only there is a reply the endpoint's own, and hands on its sign that it is leaving.
func (e *Entry) addRoute(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	link := kernel.Lookup[*peer.Link](f, kernel.ServicePeer)
	client := kernel.Lookup[*endpoint.Client](f, kernel.ServiceEndpoint)
	views := kernel.Lookup[*view.Store](f, kernel.ServiceViews)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	if err := f.Err(); err != nil {
		return err
	}
	router := route.New(route.Settings{Mode: e.settings.Route, Extra: e.settings.Extra}, link)
	router.Now, router.Self, router.Views, router.Metrics = e.options.Now, e.settings.Node, views, metrics
	direct := &sender{
		now: e.options.Now, views: views, metrics: metrics, send: client.Send, reportLeaving: e.reportLeaving,
	}
	router.CallEndpoint = direct.Send
	return k.Register(router.Service(kernel.ServiceRoute))
}

func (e *Entry) addQuery(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	router := kernel.Lookup[*route.Router](f, kernel.ServiceRoute)
	recorder := kernel.Lookup[*trace.Recorder](f, kernel.ServiceTrace)
	views := kernel.Lookup[*view.Store](f, kernel.ServiceViews)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	if err := f.Err(); err != nil {
		return err
	}
	checked := &sender{now: e.options.Now, views: views, metrics: metrics, send: router.Send}
	runner := &query.Runner{
		Now:         e.options.Now,
		Views:       views,
		Metrics:     metrics,
		Centre:      e.settings.Centre,
		Send:        checked.Send,
		RecordQuery: recorder.NewFanoutLog,
	}
	runner.RecordGates(recorder.NewGateLog)
	return k.Register(kernel.Service{Name: kernel.ServiceQuery, Value: runner, Close: runner.Close})
}

func (e *Entry) addOperator(k *kernel.Kernel) error {
	port := operator.New(e.settings.Node, e.settings.Operator, e.options.Now, e.State, e.BeginDrain)
	return port.Install(k)
}

func (e *Entry) addCaller(k *kernel.Kernel) error {
	return caller.Install(k, e.settings.Caller, e.options.Now)
}

// reportLeaving hands the sign of a leaving endpoint to the control goroutine.
func (e *Entry) reportLeaving(ctx context.Context, sign leaving.Sign) {
	post(ctx, e.kernel, control.EndpointLeaving{Sign: sign})
}

// post hands an event to the control goroutine; after its end nothing is left to be told.
func post[E any](ctx context.Context, k *kernel.Kernel, event E) {
	if loop, err := kernel.Find[*kernel.Loop](k, kernel.ServiceControl); err == nil {
		_ = kernel.Post(ctx, loop, event)
	}
}
