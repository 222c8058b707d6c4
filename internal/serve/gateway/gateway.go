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
	"basilspan/internal/platform/ingress"
	"basilspan/internal/serve/lifecycle"
)

const (
	// finishShare is the share of the grace time reserved for requests in flight after the VM stops accepting new ones.
	finishShare = 0.3
	// exitReserve is the part of the grace time reserved for the exit of the process itself.
	exitReserve = 300 * time.Millisecond
)

// Options holds the dependencies of a gateway that tests replace. A nil Rand means rand.Float64.
type Options struct {
	Now  func() time.Time
	Rand func() float64
	Log  *slog.Logger
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
}

// New registers the services of an entry VM; nothing runs before Start. If it returns an error, the gateway must not be
// used.
func New(settings config.Settings, options Options) (*Gateway, error) {
	if options.Rand == nil {
		options.Rand = rand.Float64
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

// finishTime returns how much of the grace time is reserved for requests in flight after the VM stops accepting new
// ones.
func finishTime(grace time.Duration) time.Duration {
	return time.Duration(finishShare * float64(grace))
}

// BeginDrain begins a planned stop: the readiness probe fails, so that the load balancer stops sending callers, each
// response closes its connection, so that the caller opens a new one, and the other VMs are notified. Requests are
// still served, since the load balancer may keep sending callers for some seconds. Calls after the first have no
// effect.
func (g *Gateway) BeginDrain() {
	g.drainOnce.Do(func() {
		g.lifecycle.Fire(lifecycle.TriggerDrain)
		g.callers.BeginDrain()
		g.announcing.Add(1)
		go func() {
			defer g.announcing.Done()
			g.announceLeave()
		}()
	})
}

// Close stops the entry VM within the grace time. It begins a planned stop if none has begun. It keeps serving while
// the load balancer may still send callers, then closes every service, which finishes the requests in flight, and
// returns when all services have stopped.
func (g *Gateway) Close() error {
	g.BeginDrain()
	g.mu.Lock()
	drainTime := g.settings.Grace - finishTime(g.settings.Grace) - exitReserve
	g.mu.Unlock()
	timer := time.NewTimer(max(0, drainTime))
	defer timer.Stop()
	<-timer.C
	g.announcing.Wait()
	err := g.kernel.Close()
	g.lifecycle.Fire(lifecycle.TriggerStopped)
	return err
}
