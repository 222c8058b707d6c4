// Package logline writes structured log lines without blocking the goroutines that log. Lines pass through a bounded
// queue to one writing goroutine. Each message is rate-limited; suppressed lines are counted.
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
	// maxLinesPerSecond is the number of lines with the same message that are written per second. On-call engineers
	// need examples of an event and the number of the others.
	maxLinesPerSecond = 40
	// queueSize is the number of lines that may wait for the output; lines beyond it are dropped.
	queueSize = 1024
	// maxBatchBytes is the size at which queued lines are written as a batch, which bounds the memory of a batch.
	maxBatchBytes = 64 << 10
)

// Writer is a bounded queue in front of an output.
type Writer struct {
	out   io.Writer
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	dropped int64
}

// NewWriter returns a Writer in front of out and starts its goroutine.
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

// Write queues one line. It never blocks: if the queue is full, the line is dropped and counted.
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

// Dropped returns the number of lines dropped because of a full queue since the last call.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Service returns the queue as a service with that name.
func (w *Writer) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: w}
}

// Close writes the queued lines and waits until that is done.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return nil
}

// run writes queued lines until Close is called, and then the lines that are left.
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

// flush writes line and the lines queued behind it, in batches.
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

// write writes a batch. An error is ignored: there is no other output to report it to.
func (w *Writer) write(batch []byte) {
	_, _ = w.out.Write(batch)
}

// Handler passes at most maxLinesPerSecond lines with the same message per second to its inner handler, and logs how
// many it has suppressed.
type Handler struct {
	inner   slog.Handler
	limiter *messageLimiter
}

// messageLimiter counts the lines of each message in windows of one second. Handlers derived from one another share
// it.
type messageLimiter struct {
	writer      *Writer
	mu          sync.Mutex
	windowStart time.Time
	counts      map[string]int
}

// NewHandler returns a handler that writes JSON lines of that level and above to w.
func NewHandler(w *Writer, level slog.Level) *Handler {
	return &Handler{
		inner:   slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		limiter: &messageLimiter{writer: w, counts: make(map[string]int)},
	}
}

// Enabled reports whether lines of that level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes a line unless too many lines with its message were written in this second.
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

// Close logs how many lines were suppressed since the last report. Lines logged afterwards start a new window.
func (h *Handler) Close() error {
	now := time.Now()
	for message, n := range h.limiter.closeWindow(now) {
		h.reportSuppressed(context.Background(), now, message, n)
	}
	return nil
}

// reportSuppressed logs how many lines of a message were suppressed.
func (h *Handler) reportSuppressed(ctx context.Context, now time.Time, message string, n int) {
	r := slog.NewRecord(now, slog.LevelWarn, "lines left out", 0)
	r.AddAttrs(slog.String("of", message), slog.Int("count", n))
	_ = h.inner.Handle(ctx, r)
}

// admit counts a line and reports whether it may be written. If the line opens a new window, suppressed holds the
// number of suppressed lines of the last one, by message.
func (l *messageLimiter) admit(now time.Time, message string) (allowed bool, suppressed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second || now.Before(l.windowStart) {
		suppressed = l.resetWindow(now)
	}
	l.counts[message]++
	return l.counts[message] <= maxLinesPerSecond, suppressed
}

// closeWindow starts a new window and returns the number of suppressed lines of the last one, by message.
func (l *messageLimiter) closeWindow(now time.Time) (suppressed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resetWindow(now)
}

// resetWindow starts a new window and returns the number of suppressed lines of the last one, by message. The caller
// holds mu.
func (l *messageLimiter) resetWindow(now time.Time) (suppressed map[string]int) {
	suppressed = l.suppressedCounts()
	l.windowStart = now
	clear(l.counts)
	return suppressed
}

// suppressedCounts returns the number of suppressed lines of this window, by message, and of the lines dropped by the
// writer. It resets the writer's count.
func (l *messageLimiter) suppressedCounts() map[string]int {
	var suppressed map[string]int
	add := func(message string, n int) {
		if suppressed == nil {
			suppressed = make(map[string]int)
		}
		suppressed[message] = n
	}
	for message, n := range l.counts {
		if n > maxLinesPerSecond {
			add(message, n-maxLinesPerSecond)
		}
	}
	if n := l.writer.Dropped(); n > 0 {
		add("any message: the log queue was full", int(n))
	}
	return suppressed
}

// WithAttrs returns a handler that adds attributes to its lines.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a handler that puts attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), limiter: h.limiter}
}
