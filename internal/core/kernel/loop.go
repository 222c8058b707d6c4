package kernel

import (
	"context"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/policy/freshness"
)

const (
	// eventQueueSize is how many events may wait for the control goroutine before Post blocks.
	eventQueueSize = 1024
	// tickPeriod is the time between two Tick events.
	tickPeriod = 100 * time.Millisecond
)

// ErrLoopClosed is returned by Post when the control goroutine has ended and accepts no more events.
var ErrLoopClosed = errors.New("the control goroutine has ended")

// Tick is the event that the loop passes to its handlers every tickPeriod.
//
// Gap is the time since the previous tick. A gap far over the period means that the process was paused.
type Tick struct {
	Gap time.Duration
}

// TimerFired is the event that the loop passes to its handlers each time its ticker fires.
type TimerFired struct {
	// Late is the time by which the control goroutine was told after the moment that was due.
	Late time.Duration
}

// Loop is the event loop of the control goroutine. All handlers run on that goroutine, so their state needs no lock.
type Loop struct {
	Now func() time.Time

	events   chan any
	handlers map[reflect.Type][]func(now time.Time, event any)
	quit     chan struct{}
	done     chan struct{}
}

// NewLoop returns a loop that reads the time from now.
func NewLoop(now func() time.Time) *Loop {
	return &Loop{
		Now:      now,
		events:   make(chan any, eventQueueSize),
		handlers: make(map[reflect.Type][]func(time.Time, any)),
		quit:     make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// On adds a handler for events of type E. It must be called before the loop starts.
func On[E any](l *Loop, handle func(now time.Time, event E)) {
	kind := reflect.TypeFor[E]()
	l.handlers[kind] = append(l.handlers[kind], func(now time.Time, event any) {
		handle(now, event.(E))
	})
}

// Post queues an event for the control goroutine. It blocks while the queue is full, and returns an error if ctx ends
// or the loop has been closed.
func Post[E any](ctx context.Context, l *Loop, event E) error {
	return PostAny(ctx, l, event)
}

// PostAny is like Post, for an event whose type is known only at run time.
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

// Service returns the loop as a service with that name.
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

// Raise calls the handlers of an event at once, without queueing it. Only handlers may call it, on the control
// goroutine.
func (l *Loop) Raise(now time.Time, event any) {
	l.handle(now, event)
}

// run handles events and sends ticks until the loop is closed. It is the control goroutine.
func (l *Loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := l.Now()
	due := last.Add(tickPeriod)
	for {
		select {
		case event := <-l.events:
			// After a pause of the process, handlers get a Tick with the gap before the next event.
			last = l.tick(last)
			l.handle(l.Now(), event)
		case <-ticker.C:
			now := l.Now()
			l.handle(now, TimerFired{Late: max(0, now.Sub(due))})
			due = nextDue(due, now)
			last = l.tick(last)
		case <-l.quit:
			return
		}
	}
}

// nextDue returns when the ticker is due after it has fired at the given time. A ticker drops what it has missed.
func nextDue(due, now time.Time) time.Time {
	missed := max(0, now.Sub(due)) / tickPeriod
	return due.Add((missed + 1) * tickPeriod)
}

// tick calls the handlers of Tick if at least half a period has passed since the last one, and returns the time of the
// latest Tick.
func (l *Loop) tick(last time.Time) time.Time {
	now := l.Now()
	gap := freshness.Elapsed(last, now)
	if gap < tickPeriod/2 {
		return last
	}
	l.handle(now, Tick{Gap: gap})
	return now
}

// handle calls the handlers that are registered for the type of an event, in the order of registration.
func (l *Loop) handle(now time.Time, event any) {
	for _, handle := range l.handlers[reflect.TypeOf(event)] {
		handle(now, event)
	}
}
