// Package gateway assembles the services of an entry VM that serves the routes of a registry in a kernel, and manages
// its lifecycle from start to graceful shutdown.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/discovery"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/platform/ingress"
	"basilspan/internal/policy/shutdown"
	"basilspan/internal/serve/lifecycle"
)

// Options holds the dependencies of a gateway that tests replace. A nil Rand means rand.Float64.
type Options struct {
	Now  func() time.Time
	Rand func() float64
	Log  *slog.Logger
	// Memory is the limit on the memory of the process; 0 means DefaultMemory.
	Memory unit.Bytes
	// Descriptors is how many files and connections the process may have open; 0 means not known.
	Descriptors int
}

// Gateway is one entry VM that reads its routes and endpoints from a registry.
type Gateway struct {
	kernel *kernel.Kernel
	// mu guards settings, which Reload changes.
	mu        sync.Mutex
	settings  config.Settings
	options   Options
	lifecycle *lifecycle.Lifecycle
	views     *discovery.Views
	callers   *ingress.Server
	// announcing waits until the other VMs have been notified of the stop.
	announcing sync.WaitGroup
	drainOnce  sync.Once
	// schedule is that of the planned stop. BeginDrain sets it.
	schedule shutdown.Schedule
}

// New registers the services of an entry VM; nothing runs before Start. If it returns an error, the gateway must not be
// used.
func New(settings config.Settings, options Options) (*Gateway, error) {
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	if options.Memory == 0 {
		options.Memory = DefaultMemory
	}
	g := &Gateway{
		kernel:    kernel.New(),
		settings:  settings,
		options:   options,
		lifecycle: lifecycle.New(options.Log),
		views:     discovery.NewViews(),
	}
	return g, g.install()
}

// Start starts the services. The entry VM becomes ready when the routing table and the endpoints are known.
func (g *Gateway) Start(ctx context.Context) error {
	return errors.Wrapf(g.kernel.Start(ctx), "start entry VM %q", g.settings.Node)
}

// Ready reports whether the load balancer may send callers to this VM. A starting VM whose routing table and endpoints
// are known becomes ready by this call.
func (g *Gateway) Ready() bool {
	return g.lifecycle.State(g.views.Load().Complete()) == lifecycle.StateReady
}

// Reload applies the settings that can change at run time, and returns the names of changed settings that need a
// restart to take effect.
func (g *Gateway) Reload(settings config.Settings) (kept []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applySettings(settings)
	kept = g.settings.RestartRequired(settings)
	g.settings.Seeds, g.settings.Extra, g.settings.Grace = settings.Seeds, settings.Extra, settings.Grace
	return kept
}

// BeginDrain begins a planned stop: the readiness probe fails, so that the load balancer stops sending callers, each
// response closes its connection, so that the caller opens a new one, and the other VMs are notified. Requests are
// still served, since the load balancer may keep sending callers for some seconds. Calls after the first have no
// effect.
func (g *Gateway) BeginDrain() {
	g.drainOnce.Do(func() {
		g.mu.Lock()
		g.schedule = shutdown.Plan(g.options.Now(), g.settings.Grace)
		g.mu.Unlock()
		s := g.schedule
		g.options.Log.Info("drain begun", "accept_s", s.AcceptUntil.Sub(s.Began).Seconds(),
			"answer_s", s.AnswerBy.Sub(s.Began).Seconds())
		g.lifecycle.Fire(lifecycle.TriggerDrain)
		g.drainDispatcher(s)
		g.callers.BeginDrain(s)
		g.announcing.Add(1)
		go func() {
			defer g.announcing.Done()
			g.announceLeave()
			g.options.Log.Info("other VMs notified of the stop", "since_drain_s", g.options.Now().Sub(s.Began).Seconds())
		}()
	})
}

// Close stops the entry VM within the grace time. It begins a planned stop if none has begun. It keeps serving while
// the load balancer may still send callers, then closes every service, which finishes the requests in flight, and
// returns when all services have stopped.
func (g *Gateway) Close() error {
	g.BeginDrain()
	timer := time.NewTimer(max(0, g.schedule.AcceptUntil.Sub(g.options.Now())))
	defer timer.Stop()
	<-timer.C
	g.announcing.Wait()
	err := g.kernel.Close()
	g.lifecycle.Fire(lifecycle.TriggerStopped)
	return err
}
