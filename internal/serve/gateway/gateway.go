// Package gateway puts the services of an entry VM that serves a registry's routes together in a kernel, and leads
// them through its life.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/outlook"
	"basilspan/internal/platform/ingress"
	"basilspan/internal/serve/life"
)

const (
	// finishShare is the share of the grace time that is kept for the requests in flight once nothing new is accepted.
	finishShare = 0.3
	// exitReserve is the part of the grace time that is kept for the end of the process itself.
	exitReserve = 300 * time.Millisecond
)

// Options are the seams of a gateway.
type Options struct {
	Now  func() time.Time
	Rand func() float64
	Log  *slog.Logger
}

// Gateway is one entry VM.
type Gateway struct {
	kernel *kernel.Kernel
	// mu guards settings, which a reload changes.
	mu        sync.Mutex
	settings  config.Settings
	options   Options
	lifecycle *life.Lifecycle
	views     *outlook.Views
	callers   *ingress.Server
	// announcing is done once the other VMs have been told of the stop.
	announcing sync.WaitGroup
	drainOnce  sync.Once
}

// New registers the services of an entry VM; nothing runs before Start.
func New(settings config.Settings, options Options) (*Gateway, error) {
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	g := &Gateway{
		kernel:    kernel.New(),
		settings:  settings,
		options:   options,
		lifecycle: life.New(options.Log),
		views:     outlook.NewViews(),
	}
	return g, g.install()
}

// Start starts the services; the entry VM is ready once routes and endpoints are known.
func (g *Gateway) Start(ctx context.Context) error {
	return errors.Wrapf(g.kernel.Start(ctx), "start entry VM %q", g.settings.Node)
}

// Ready says whether the balancer may send callers.
func (g *Gateway) Ready() bool {
	return g.lifecycle.State(g.views.Load().Complete()) == life.StateReady
}

// Reload takes changed settings and gives the names of those that have changed and stay as they are until a restart.
func (g *Gateway) Reload(settings config.Settings) (kept []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applySettings(settings)
	kept = g.settings.RestartRequired(settings)
	g.settings.Seeds, g.settings.Extra, g.settings.Grace = settings.Seeds, settings.Extra, settings.Grace
	return kept
}

// finishTime gives how much of the grace time is kept for the requests in flight.
func finishTime(grace time.Duration) time.Duration {
	return time.Duration(finishShare * float64(grace))
}

// BeginDrain begins a planned stop: the balancer is told to send no more callers, and each answer asks its caller to
// connect anew. Requests are served on, as callers may be sent for some seconds.
func (g *Gateway) BeginDrain() {
	g.drainOnce.Do(func() {
		g.lifecycle.Fire(life.TriggerDrain)
		g.callers.BeginDrain()
		g.announcing.Add(1)
		go func() {
			defer g.announcing.Done()
			g.announceLeave()
		}()
	})
}

// Close stops the entry VM within the grace time: it accepts callers while the balancer may send some, then finishes
// what is in flight, ends every service and waits.
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
	g.lifecycle.Fire(life.TriggerStopped)
	return err
}
