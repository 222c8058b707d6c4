// Package entry puts the services of one entry VM together in a kernel and leads them through its life.
package entry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/process"
	"basilspan/internal/core/control"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/peer"
	"basilspan/internal/serve/caller"
	"basilspan/internal/serve/life"
	"basilspan/internal/serve/operator"
)

// postTimeout bounds the wait for the control goroutine at a planned stop.
const postTimeout = time.Second

// Options are the seams of an entry.
type Options struct {
	Now func() time.Time
	Log *slog.Logger
	// Trace gets the records of the decisions from start to end; nil records none.
	Trace io.Writer
}

// Entry is one entry VM.
type Entry struct {
	kernel       *kernel.Kernel
	settings     process.Settings
	options      Options
	lifecycle    *life.Lifecycle
	drainStarted chan struct{}
	drainOnce    sync.Once
	// lag is how long the balancer may send callers on; it is set before drain is closed.
	lag time.Duration
}

// New registers the services of an entry VM; nothing runs before Start.
func New(settings process.Settings, options Options) (*Entry, error) {
	e := &Entry{
		kernel:       kernel.New(),
		settings:     settings,
		options:      options,
		drainStarted: make(chan struct{}),
	}
	e.lifecycle = life.New(options.Log)
	if err := e.install(); err != nil {
		return nil, err
	}
	return e, nil
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
	views, err := kernel.Find[*view.Store](e.kernel, kernel.ServiceViews)
	return string(e.lifecycle.State(err == nil && views.Load().Catalog != nil))
}

// BeginDrain asks for a planned stop; Draining tells whoever runs the entry.
func (e *Entry) BeginDrain() {
	e.drainOnce.Do(func() {
		wasReady := e.State() == operator.StateReady
		e.lifecycle.Fire(life.TriggerDrain)
		if port, err := kernel.Find[*caller.Server](e.kernel, kernel.ServiceCaller); err == nil {
			port.BeginDrain()
		}
		ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
		defer cancel()
		post(ctx, e.kernel, control.Drain{})
		if wasReady {
			e.lag = e.settings.Lag
		}
		close(e.drainStarted)
	})
}

// Draining is closed once a planned stop has been asked for.
func (e *Entry) Draining() <-chan struct{} {
	return e.drainStarted
}

// Close serves on through the balancer's lag, finishes what is in flight, ends every service and waits.
func (e *Entry) Close() error {
	e.BeginDrain()
	lag := time.NewTimer(e.lag)
	defer lag.Stop()
	<-lag.C
	err := e.kernel.Close()
	e.lifecycle.Fire(life.TriggerStopped)
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
