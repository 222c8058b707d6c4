// Package entry assembles the services of one entry VM in a kernel and manages its lifecycle from start to graceful
// shutdown.
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
	"basilspan/internal/serve/lifecycle"
	"basilspan/internal/serve/operator"
)

// postTimeout bounds how long a planned stop waits for the control goroutine to accept its event.
const postTimeout = time.Second

// Options holds the dependencies of an entry VM that tests replace.
type Options struct {
	Now func() time.Time
	Log *slog.Logger
	// Trace receives the decision records of the whole process lifetime; nil records none.
	Trace io.Writer
	// Descriptors is how many files and connections the process may have open; 0 means not known.
	Descriptors int
}

// Entry is one entry VM.
type Entry struct {
	kernel       *kernel.Kernel
	settings     process.Settings
	options      Options
	lifecycle    *lifecycle.Lifecycle
	drainStarted chan struct{}
	drainOnce    sync.Once
	// lag is how long the load balancer may keep sending callers after the drain has begun. It is set before
	// drainStarted is closed.
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
	e.lifecycle = lifecycle.New(options.Log)
	if err := e.install(); err != nil {
		return nil, err
	}
	return e, nil
}

// Start starts the services. The entry VM becomes ready when a configuration is in force.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return errors.Wrapf(err, "start entry VM %q", e.settings.Node)
	}
	return nil
}

// State returns the lifecycle state. A starting VM that has a configuration in force becomes ready by this call.
func (e *Entry) State() string {
	views, err := kernel.Find[*view.Store](e.kernel, kernel.ServiceViews)
	return string(e.lifecycle.State(err == nil && views.Load().Catalog != nil))
}

// BeginDrain begins a planned stop: the VM reports that it is draining, responses close their connections, and the
// control goroutine is notified. It sets the lag that Close waits: the configured one if the VM was ready, else 0. It
// closes the channel of Draining, on which the caller of Start closes the entry VM. Calls after the first have no
// effect.
func (e *Entry) BeginDrain() {
	e.drainOnce.Do(func() {
		wasReady := e.State() == operator.StateReady
		e.lifecycle.Fire(lifecycle.TriggerDrain)
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

// Draining returns a channel that is closed once a planned stop has begun.
func (e *Entry) Draining() <-chan struct{} {
	return e.drainStarted
}

// Close begins a planned stop if none has begun. It keeps serving for the load balancer's lag if the VM was ready, then
// closes every service, which finishes the requests in flight, and returns when all services have stopped.
func (e *Entry) Close() error {
	e.BeginDrain()
	lag := time.NewTimer(e.lag)
	defer lag.Stop()
	<-lag.C
	err := e.kernel.Close()
	e.lifecycle.Fire(lifecycle.TriggerStopped)
	return err
}

// CallerAddress returns the address of the port for callers, or "" if there is none. It may be called only after Start.
func (e *Entry) CallerAddress() unit.Address {
	port, err := kernel.Find[*caller.Server](e.kernel, kernel.ServiceCaller)
	if err != nil {
		return ""
	}
	return port.Address()
}

// OperatorAddress returns the address of the port for operators, or "" if there is none. It may be called only after
// Start.
func (e *Entry) OperatorAddress() unit.Address {
	port, err := kernel.Find[*operator.Server](e.kernel, kernel.ServiceOperator)
	if err != nil {
		return ""
	}
	return port.Address()
}

// PeerAddress returns the address at which the other entry VMs reach this one: the advertised address if one is set,
// else the address of the listening port.
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
