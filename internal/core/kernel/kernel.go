// Package kernel is the micro-kernel of a process. It registers services by name, lets them find each other, starts
// them in order and closes them in reverse order. Its Loop runs the one control goroutine, which owns the control
// state.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Name is the name under which a service is registered and found.
type Name string

// Service is one named part of a process.
//
// Start may be nil. It returns once the service is running; ctx ends when the process is killed rather than closed.
// Close may be nil. It returns once everything that Start began has ended.
type Service struct {
	Name  Name
	Value any
	Start func(ctx context.Context) error
	Close func() error
}

// Background returns a service that calls run in a goroutine of its own. Close cancels the ctx of run and waits for it
// to return.
func Background(name Name, value any, run func(ctx context.Context)) Service {
	var cancel context.CancelFunc
	done := make(chan struct{})
	return Service{
		Name:  name,
		Value: value,
		Start: func(ctx context.Context) error {
			ctx, cancel = context.WithCancel(ctx)
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		Close: func() error {
			cancel()
			<-done
			return nil
		},
	}
}

// Wait waits for d or until ctx ends, whichever is first.
func Wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	byName   map[Name]Service
	started  int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{byName: make(map[Name]Service)}
}

// Register adds a service. Services start in the order in which they were registered. It returns an error if the name
// is empty or already registered.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Name == "" {
		return errors.New("register service: the name is empty")
	}
	if _, ok := k.byName[s.Name]; ok {
		return errors.Newf("service %q is already registered", s.Name)
	}
	k.byName[s.Name] = s
	k.services = append(k.services, s)
	return nil
}

// Find returns the value of the service with that name, as type T. It returns an error if the service is not registered
// or its value has another type.
func Find[T any](k *Kernel, name Name) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	s, ok := k.byName[name]
	if !ok {
		return none, errors.Newf("service %q is not registered", name)
	}
	value, ok := s.Value.(T)
	if !ok {
		return none, errors.Newf("service %q is a %T, not a %T", name, s.Value, none)
	}
	return value, nil
}

// Start starts the services in order. If one fails, it closes those started before it and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.list() {
		if err := start(ctx, s); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start service %q", s.Name), k.Close())
		}
		k.mu.Lock()
		k.started++
		k.mu.Unlock()
	}
	return nil
}

// Close closes the started services in reverse order and waits for each. An error does not stop
// it; the errors are combined. A second call does nothing.
func (k *Kernel) Close() error {
	k.mu.Lock()
	n := k.started
	k.started = 0
	k.mu.Unlock()
	services := k.list()
	var all error
	for i := n - 1; i >= 0; i-- {
		s := services[i]
		if s.Close == nil {
			continue
		}
		if err := s.Close(); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "close service %q", s.Name))
		}
	}
	return all
}

// list returns a copy of the registered services.
func (k *Kernel) list() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service(nil), k.services...)
}

// start calls the Start function of a service; it does nothing if the service has none.
func start(ctx context.Context, s Service) error {
	if s.Start == nil {
		return nil
	}
	return s.Start(ctx)
}
