// Package trace serves traces on the port for operators. The VM has no disk, so the lines are streamed to the client as
// they are recorded.
package trace

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/trace"
)

const (
	// defaultDuration is how long a trace runs if the request does not set a duration.
	defaultDuration = 10 * time.Second
	// maxDuration is the maximum duration that a request may set.
	maxDuration = 10 * time.Minute
	// stallTimeout is how long the client may take to read the remaining lines after the trace has ended.
	stallTimeout = 5 * time.Second
	// Path is the path of the trace handler on the port for operators.
	Path = "/trace"
)

// Handler streams traces of one recorder over HTTP.
type Handler struct {
	recorder *trace.Recorder
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns a handler that serves the traces of that recorder.
func New(recorder *trace.Recorder) *Handler {
	h := &Handler{recorder: recorder}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Close ends the current trace and waits until its client has read the remaining lines or stallTimeout has passed.
func (h *Handler) Close() {
	h.cancel()
	h.wg.Wait()
}

// Handle serves GET /trace?seconds=N: it streams the records of the next N seconds. While another trace is being
// recorded, it responds with status 409.
func (h *Handler) Handle(_ context.Context, rc *app.RequestContext) {
	duration, ok := parseDuration(rc.Query("seconds"))
	if !ok {
		rc.String(http.StatusBadRequest, "seconds: must be a number over 0 and up to 600")
		return
	}
	capture, err := h.recorder.BeginCapture()
	if err != nil {
		rc.String(http.StatusConflict, err.Error())
		return
	}
	r, w := io.Pipe()
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.stream(capture, duration, w)
	}()
	rc.Response.Header.Set("Content-Type", "application/jsonl")
	rc.SetBodyStream(r, -1)
}

// stream runs in a goroutine of its own for each trace. It writes the lines of a capture to the pipe until the duration
// has passed or Close is called. A client that does not read cannot block the recorder: the capture ends in time, and
// the pipe is closed stallTimeout later.
func (h *Handler) stream(capture *trace.Capture, duration time.Duration, w *io.PipeWriter) {
	ctx, cancel := context.WithTimeout(h.ctx, duration)
	defer cancel()
	stalled := time.AfterFunc(duration+stallTimeout, func() { _ = w.CloseWithError(io.ErrNoProgress) })
	defer stalled.Stop()
	stop := context.AfterFunc(ctx, func() {
		h.recorder.EndCapture(capture)
		stalled.Reset(stallTimeout)
	})
	defer stop()
	err := capture.Write(w)
	h.recorder.EndCapture(capture)
	_ = w.CloseWithError(err)
}

// parseDuration parses the duration of a trace in seconds. An empty text means defaultDuration. It returns false for a
// value that is not a number or is out of range.
func parseDuration(text string) (time.Duration, bool) {
	if text == "" {
		return defaultDuration, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	// NaN is rejected too, since all comparisons with it are false.
	if err == nil && seconds > 0 && seconds <= maxDuration.Seconds() {
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}
