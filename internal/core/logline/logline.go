// Package logline writes structured log lines without ever making their author wait: lines go through a bounded queue
// to one goroutine, and lines of one message beyond a rate are left out and counted.
package logline

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"basilspan/internal/core/kernel"
)

const (
	// maxLinesPerSecond is how many lines with the same message are written in a second; on-call engineers need examples of a
	// decision and the count of the rest.
	maxLinesPerSecond = 40
	// queueSize is how many lines may wait for the output; more are left out.
	queueSize = 1024
	// maxBatchBytes is the size in bytes at which the lines that have gathered are written, so that they take bounded memory.
	maxBatchBytes = 64 << 10
)

// Writer is the queue in front of an output.
type Writer struct {
	out   io.Writer
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	dropped int64
}

// NewWriter makes a queue in front of out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, queueSize),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line; it never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
	return len(line), nil
}

// Dropped gives how many lines found the queue full since the last call.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Service gives the queue as a service with that name.
func (w *Writer) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: w}
}

// Close writes the queued lines and waits.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-w.quit:
			w.flush(nil)
			return
		}
	}
}

// flush writes line and those that are queued behind it, in batches.
func (w *Writer) flush(line []byte) {
	for {
		select {
		case next := <-w.lines:
			if len(line)+len(next) > maxBatchBytes {
				w.write(line)
				line = line[:0]
			}
			line = append(line, next...)
		default:
			w.write(line)
			return
		}
	}
}

// write writes a batch. A failed write to the standard output can be reported nowhere else.
func (w *Writer) write(batch []byte) {
	_, _ = w.out.Write(batch)
}

// Handler passes on at most perSecond lines with the same message in a second and says how many it has left out.
type Handler struct {
	inner   slog.Handler
	limiter *messageLimiter
}

// messageLimiter is shared by the handlers that are made from one another.
type messageLimiter struct {
	writer      *Writer
	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]int
}

// NewHandler makes a handler of JSON lines of that level and above.
func NewHandler(w *Writer, level slog.Level) *Handler {
	return &Handler{
		inner:   slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		limiter: &messageLimiter{writer: w, counts: make(map[string]int)},
	}
}

// Enabled says whether lines of that level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes a line, unless too many with its message were written in this second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	allowed, suppressed := h.limiter.admit(r.Time, r.Message)
	for message, n := range suppressed {
		h.reportSuppressed(ctx, r.Time, message, n)
	}
	if !allowed {
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// Close says how many lines were left out since the last count; the lines that follow are not bounded by earlier ones.
func (h *Handler) Close() error {
	now := time.Now()
	for message, n := range h.limiter.closeWindow(now) {
		h.reportSuppressed(context.Background(), now, message, n)
	}
	return nil
}

// reportSuppressed writes how many lines of a message were left out.
func (h *Handler) reportSuppressed(ctx context.Context, now time.Time, message string, n int) {
	r := slog.NewRecord(now, slog.LevelWarn, "lines left out", 0)
	r.AddAttrs(slog.String("of", message), slog.Int("count", n))
	_ = h.inner.Handle(ctx, r)
}

// admit counts a line. left are the messages that had lines left out in the last second.
func (s *messageLimiter) admit(now time.Time, message string) (allowed bool, suppressed map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second || now.Before(s.windowStart) {
		suppressed = s.resetWindow(now)
	}
	s.counts[message]++
	return s.counts[message] <= maxLinesPerSecond, suppressed
}

// closeWindow begins a new second and gives the messages that had lines left out in the last one.
func (s *messageLimiter) closeWindow(now time.Time) (suppressed map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resetWindow(now)
}

// resetWindow begins a new second and gives the messages that had lines left out in the last one.
func (s *messageLimiter) resetWindow(now time.Time) (suppressed map[string]int) {
	suppressed = s.suppressedCounts()
	s.windowStart = now
	clear(s.counts)
	return suppressed
}

// suppressedCounts gives the lines left out since the last call, by message.
func (s *messageLimiter) suppressedCounts() map[string]int {
	var suppressed map[string]int
	add := func(message string, n int) {
		if suppressed == nil {
			suppressed = make(map[string]int)
		}
		suppressed[message] = n
	}
	for message, n := range s.counts {
		if n > maxLinesPerSecond {
			add(message, n-maxLinesPerSecond)
		}
	}
	if n := s.writer.Dropped(); n > 0 {
		add("any, as the queue was full", int(n))
	}
	return suppressed
}

// WithAttrs gives a handler that adds attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup gives a handler that puts attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), limiter: h.limiter}
}
