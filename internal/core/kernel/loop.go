package kernel

import (
	"context"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/policy/freshness"
)

const (
	// loopQueue is how many events may wait for the control goroutine.
	loopQueue = 1024
	// tickPeriod is the time between two Tick events.
	tickPeriod = 100 * time.Millisecond
)

// ErrLoopClosed means that the control goroutine has ended and takes no more events.
var ErrLoopClosed = errors.New("the control goroutine has ended")

// Tick is the event that the loop sends to itself at a fixed period.
//
// Gap is the time since the previous tick; a gap far over the period means that the process was paused.
type Tick struct {
	Gap time.Duration
}

// Loop is the one control goroutine; every handler runs on it, so what the handlers own needs no lock.
type Loop struct {
	Now func() time.Time

	events   chan any
	handlers map[reflect.Type][]func(now time.Time, event any)
	quit     chan struct{}
	done     chan struct{}
}

// NewLoop makes a loop that reads the time from now.
func NewLoop(now func() time.Time) *Loop {
	return &Loop{
		Now:      now,
		events:   make(chan any, loopQueue),
		handlers: make(map[reflect.Type][]func(time.Time, any)),
		quit:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// On adds a handler for events of type E; it must be called before the loop starts.
func On[E any](l *Loop, handle func(now time.Time, event E)) {
	kind := reflect.TypeFor[E]()
	l.handlers[kind] = append(l.handlers[kind], func(now time.Time, event any) {
		handle(now, event.(E))
	})
}

// Post hands an event to the control goroutine; it waits while the queue is full.
func Post[E any](ctx context.Context, l *Loop, event E) error {
	return PostAny(ctx, l, event)
}

// PostAny is Post for an event whose type is known only at run time.
func PostAny(ctx context.Context, l *Loop, event any) error {
	select {
	case l.events <- event:
		return nil
	case <-l.done:
		return ErrLoopClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Service gives the loop as a service with that name.
func (l *Loop) Service(name Name) Service {
	return Service{
		Name:  name,
		Value: l,
		Start: func(context.Context) error {
			go l.run()
			return nil
		},
		Close: func() error {
			close(l.quit)
			<-l.done
			return nil
		},
	}
}

// Raise hands an event to its handlers at once; only handlers call it, on the control goroutine.
func (l *Loop) Raise(now time.Time, event any) {
	l.handle(now, event)
}

func (l *Loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := l.Now()
	for {
		select {
		case event := <-l.events:
			// After a pause the handlers learn of the gap before they take an event.
			last = l.tick(last)
			l.handle(l.Now(), event)
		case <-ticker.C:
			last = l.tick(last)
		case <-l.quit:
			return
		}
	}
}

// tick sends a Tick when one is due, and gives the time of the last one.
func (l *Loop) tick(last time.Time) time.Time {
	now := l.Now()
	gap := freshness.Elapsed(last, now)
	if gap < tickPeriod/2 {
		return last
	}
	l.handle(now, Tick{Gap: gap})
	return now
}

func (l *Loop) handle(now time.Time, event any) {
	for _, handle := range l.handlers[reflect.TypeOf(event)] {
		handle(now, event)
	}
}
