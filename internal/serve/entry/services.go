package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/control"
	"basilspan/internal/core/exchange"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/route"
	"basilspan/internal/core/timerlag"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/link/peer"
	"basilspan/internal/link/platform"
	"basilspan/internal/policy/intake"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/serve/caller"
	"basilspan/internal/serve/listen"
	"basilspan/internal/serve/operator"
)

// endpointConnections is the number of connections that one entry VM opens to one endpoint.
const endpointConnections unit.Connections = 4

// requestMemoryShare, peerMemoryShare and operatorMemoryShare are the parts of the limit on the memory that callers'
// requests, the messages of other entry VMs, and operators' requests may take, with the responses to them.
const (
	requestMemoryShare  = 4
	peerMemoryShare     = 8
	operatorMemoryShare = 16
)

// memoryLimit returns the limit on the memory of the process, 0 if there is none.
func (e *Entry) memoryLimit() unit.Bytes {
	return unit.Bytes(e.settings.Memory) << 20
}

// install registers the services in the order in which they start. Each service looks up earlier ones by name.
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
		e.addRouter,
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

// addState registers the shared state: settings, metrics and views.
func (e *Entry) addState(k *kernel.Kernel) error {
	return errors.Join(
		k.Register(kernel.Service{Name: kernel.ServiceSettings, Value: e.settings}),
		k.Register(kernel.Service{Name: kernel.ServiceMetrics, Value: metric.NewSet()}),
		k.Register(kernel.Service{Name: kernel.ServiceViews, Value: view.NewStore()}),
	)
}

// addTrace registers the recorder of decision records.
func (e *Entry) addTrace(k *kernel.Kernel) error {
	recorder := trace.New(e.options.Now)
	recorder.Out = e.options.Trace
	return k.Register(recorder.Service(kernel.ServiceTrace))
}

// addControl registers the loop that runs the control goroutine; installControl adds its state and handlers.
func (e *Entry) addControl(k *kernel.Kernel) error {
	return k.Register(kernel.NewLoop(e.options.Now).Service(kernel.ServiceControl))
}

// addPeer registers the link to the other entry VMs.
func (e *Entry) addPeer(k *kernel.Kernel) error {
	link := peer.New(e.settings.Peer)
	limit := e.memoryLimit() / peerMemoryShare
	if limit > 0 {
		metrics, err := kernel.Find[*metric.Set](k, kernel.ServiceMetrics)
		if err != nil {
			return err
		}
		link.Memory = memory.NewMeteredAccount(limit, "memory.peers", metrics, e.options.Log)
	}
	link.MaxIncoming = intake.MaxPeerConnections(limit, e.options.Descriptors)
	return k.Register(link.Service(kernel.ServicePeer))
}

// addExchange registers the exchange of control state with the other entry VMs.
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

// addPlatform registers the watcher of the platform.
func (e *Entry) addPlatform(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	if err := f.Err(); err != nil {
		return err
	}
	return k.Register(platform.New(e.settings.Platform, loop, e.options.Now).Service(kernel.ServicePlatform))
}

// installControl connects the control goroutine to its state and to the services that it uses.
func (e *Entry) installControl(k *kernel.Kernel) error {
	f := kernel.NewFinder(k)
	loop := kernel.Lookup[*kernel.Loop](f, kernel.ServiceControl)
	views := kernel.Lookup[*view.Store](f, kernel.ServiceViews)
	metrics := kernel.Lookup[*metric.Set](f, kernel.ServiceMetrics)
	exchangeService := kernel.Lookup[*exchange.Service](f, kernel.ServiceExchange)
	watcher := kernel.Lookup[*platform.Watcher](f, kernel.ServicePlatform)
	recorder := kernel.Lookup[*trace.Recorder](f, kernel.ServiceTrace)
	if err := f.Err(); err != nil {
		return err
	}
	timerlag.Install(loop, metrics, e.options.Log)
	control.Install(loop, e.options.Now(), control.Options{
		Node:            e.settings.Node,
		Centre:          e.settings.Centre,
		Peers:           e.settings.Peers,
		Views:           views,
		Metrics:         metrics,
		Log:             e.options.Log,
		Address:         e.PeerAddress,
		Publish:         exchangeService.Publish,
		TriggerRound:    exchangeService.TriggerRound,
		Fetch:           exchangeService.Fetch,
		RefreshPlatform: watcher.Refresh,
		RandIntN:        rand.IntN,
		Record:          recorder.RecordOffer,
	})
	return nil
}

// addEndpoint registers the client that sends calls to endpoints.
func (e *Entry) addEndpoint(k *kernel.Kernel) error {
	client := endpoint.New(e.options.Now, endpointConnections)
	return k.Register(kernel.Service{Name: kernel.ServiceEndpoint, Value: client, Close: client.Close})
}

// addRouter registers the router, which passes attempts to the VM that owns the endpoint. The view is checked twice: by
// the sender of addQuery before an attempt goes to the owner, and by the owner before the attempt goes to the endpoint.
// Only the VM that calls the endpoint itself knows that a reply comes from the endpoint, so only that VM reports that
// the endpoint is leaving.
func (e *Entry) addRouter(k *kernel.Kernel) error {
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

// addQuery registers the query service.
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

// addOperator registers the port for operators.
func (e *Entry) addOperator(k *kernel.Kernel) error {
	metrics, err := kernel.Find[*metric.Set](k, kernel.ServiceMetrics)
	if err != nil {
		return err
	}
	port := operator.New(e.settings.Node, e.settings.Operator, e.options.Now, e.State, e.BeginDrain)
	port.OnRefuse = listen.RefusalRecorder(metrics, e.options.Log, "operators")
	if limit := e.memoryLimit(); limit > 0 {
		port.Memory = memory.NewMeteredAccount(limit/operatorMemoryShare, "memory.operators", metrics, e.options.Log)
	}
	return port.Install(k)
}

// addCaller registers the port for callers.
func (e *Entry) addCaller(k *kernel.Kernel) error {
	metrics, err := kernel.Find[*metric.Set](k, kernel.ServiceMetrics)
	if err != nil {
		return err
	}
	limit := e.memoryLimit() / requestMemoryShare
	bounds := listen.Bounds{
		Output: true, Connections: intake.MaxConnections(limit, e.options.Descriptors),
		OnRefuse: listen.RefusalRecorder(metrics, e.options.Log, "callers"),
	}
	if limit > 0 {
		bounds.Memory = memory.NewMeteredAccount(limit, "memory.requests", metrics, e.options.Log)
		bounds.Answers = bounds.Memory
	}
	return caller.Install(k, e.settings.Caller, e.options.Now, bounds)
}

// reportLeaving informs the control goroutine that an endpoint is leaving. The sender of addRouter calls it.
func (e *Entry) reportLeaving(ctx context.Context, sign leaving.Sign) {
	post(ctx, e.kernel, control.EndpointLeaving{Sign: sign})
}

// post sends an event to the control goroutine. Errors are ignored: once the goroutine has ended, there is
// nothing left to notify.
func post[E any](ctx context.Context, k *kernel.Kernel, event E) {
	if loop, err := kernel.Find[*kernel.Loop](k, kernel.ServiceControl); err == nil {
		_ = kernel.Post(ctx, loop, event)
	}
}
