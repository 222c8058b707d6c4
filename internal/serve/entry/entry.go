// Package entry puts the services of one entry VM together in a kernel and leads them through its life.
package entry

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/process"
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
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/serve/caller"
	"basilspan/internal/serve/operator"
)

// endpointConnections is how many connections one entry VM opens to one endpoint.
const endpointConnections unit.Connections = 4

// postTime bounds the wait for the control goroutine at a planned stop.
const postTime = time.Second

// Options are the seams of an entry.
type Options struct {
	Now func() time.Time
	Log *slog.Logger
	// Trace gets the records of the decisions from start to end; nil records none.
	Trace io.Writer
}

// Entry is one entry VM.
type Entry struct {
	kernel   *kernel.Kernel
	loop     *kernel.Loop
	settings process.Settings
	options  Options
	views    *view.Store
	metrics  *metric.Set
	life     *life
	drain    chan struct{}
	once     sync.Once
	// lag is how long the balancer may send callers on; it is set before drain is closed.
	lag time.Duration
}

// New registers the services of an entry VM; nothing runs before Start.
func New(settings process.Settings, options Options) (*Entry, error) {
	e := &Entry{
		kernel:   kernel.New(),
		settings: settings,
		options:  options,
		views:    view.NewStore(),
		metrics:  metric.NewSet(),
		drain:    make(chan struct{}),
	}
	e.life = newLife(options.Log)
	if err := e.install(); err != nil {
		return nil, err
	}
	return e, nil
}

// install registers the services in the order in which they start.
func (e *Entry) install() error {
	k, now := e.kernel, e.options.Now
	e.loop = kernel.NewLoop(now)
	recorder := trace.New(now)
	recorder.Out = e.options.Trace
	client := endpoint.New(now, endpointConnections)
	link := peer.New(e.settings.Peer)
	watcher := platform.New(e.settings.Platform, e.loop, now)
	told := exchange.New(e.loop, link, now)
	told.Self = e.PeerAddress
	e.installControl(told, watcher, recorder)
	router := route.New(route.Settings{Mode: e.settings.Route, Extra: e.settings.Extra}, link)
	router.Now, router.Self, router.Views, router.Metrics = now, e.settings.Node, e.views, e.metrics
	// A view is checked twice: before an attempt goes to the endpoint's owner, and there before it goes to the endpoint.
	router.Direct = e.guard(client.Send)
	runner := &query.Runner{Now: now, Views: e.views, Metrics: e.metrics, Send: e.guard(router.Send)}
	runner.Record, runner.Centre = recorder.Fanout, e.settings.Centre
	runner.RecordGates(recorder.Gate)
	services := []kernel.Service{
		{Name: kernel.ServiceSettings, Value: e.settings},
		{Name: kernel.ServiceMetrics, Value: e.metrics},
		{Name: kernel.ServiceViews, Value: e.views},
		recorder.Service(kernel.ServiceTrace),
		e.loop.Service(kernel.ServiceControl),
		link.Service(kernel.ServicePeer),
		told.Service(kernel.ServiceExchange),
		watcher.Service(kernel.ServicePlatform),
		{Name: kernel.ServiceEndpoint, Value: client, Close: client.Close},
		router.Service(kernel.ServiceRoute),
		{Name: kernel.ServiceQuery, Value: runner, Close: runner.Close},
	}
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	port := operator.New(e.settings.Node, e.settings.Operator, now, e.State, e.BeginDrain)
	if err := port.Install(k); err != nil {
		return err
	}
	return caller.Install(k, e.settings.Caller, now)
}

func (e *Entry) installControl(told *exchange.Service, watcher *platform.Watcher, recorder *trace.Recorder) {
	control.Install(e.loop, e.options.Now(), control.Options{
		Node:    e.settings.Node,
		Centre:  e.settings.Centre,
		Peers:   e.settings.Peers,
		Views:   e.views,
		Metrics: e.metrics,
		Log:     e.options.Log,
		Address: e.PeerAddress,
		Publish: told.Publish,
		Nudge:   told.Nudge,
		Fetch:   told.Fetch,
		Refresh: watcher.Refresh,
		Pick:    rand.IntN,
		Record:  recorder.Offer,
	})
}

// guard puts a check of the view before send.
func (e *Entry) guard(send func(ctx context.Context, call endpoint.Call) fanout.Reply) func(
	ctx context.Context, call endpoint.Call,
) fanout.Reply {
	s := &sender{now: e.options.Now, views: e.views, metrics: e.metrics, send: send, leaving: e.endpointLeaving}
	return s.Send
}

// endpointLeaving hands the sign of a leaving endpoint to the control goroutine.
func (e *Entry) endpointLeaving(ctx context.Context, sign leaving.Sign) {
	_ = kernel.Post(ctx, e.loop, control.EndpointLeaving{Sign: sign})
}

// Start starts the services; the entry becomes ready once a configuration is in force.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Wrapf(err, "start entry VM %q", e.settings.Node)
	}
	return nil
}

// State gives the lifecycle state.
func (e *Entry) State() string {
	return e.life.state(e.views.Load().Catalog != nil)
}

// BeginDrain asks for a planned stop; Draining tells whoever runs the entry.
func (e *Entry) BeginDrain() {
	e.once.Do(func() {
		served := e.State() == operator.StateReady
		e.life.fire(triggerDrain)
		if port, err := kernel.Find[*caller.Server](e.kernel, kernel.ServiceCaller); err == nil {
			port.BeginDrain()
		}
		ctx, cancel := context.WithTimeout(context.Background(), postTime)
		defer cancel()
		_ = kernel.Post(ctx, e.loop, control.Drain{})
		if served {
			e.lag = e.settings.Lag
		}
		close(e.drain)
	})
}

// Draining is closed once a planned stop has been asked for.
func (e *Entry) Draining() <-chan struct{} {
	return e.drain
}

// Close serves on through the balancer's lag, finishes what is in flight, ends every service and waits.
func (e *Entry) Close() error {
	e.BeginDrain()
	lag := time.NewTimer(e.lag)
	defer lag.Stop()
	<-lag.C
	err := e.kernel.Close()
	e.life.fire(triggerStopped)
	return err
}

// CallerAddress gives the address for callers.
func (e *Entry) CallerAddress() unit.Address {
	port, err := kernel.Find[*caller.Server](e.kernel, kernel.ServiceCaller)
	if err != nil {
		return ""
	}
	return port.Address()
}

// OperatorAddress gives the address for operators.
func (e *Entry) OperatorAddress() unit.Address {
	port, err := kernel.Find[*operator.Server](e.kernel, kernel.ServiceOperator)
	if err != nil {
		return ""
	}
	return port.Address()
}

// PeerAddress gives the address at which the other entry VMs reach this one.
func (e *Entry) PeerAddress() unit.Address {
	if e.settings.Advertise != "" {
		return e.settings.Advertise
	}
	link, err := kernel.Find[*peer.Link](e.kernel, kernel.ServicePeer)
	if err != nil {
		return ""
	}
	return link.Address()
}
