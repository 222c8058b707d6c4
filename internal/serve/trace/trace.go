// Package trace serves traces to callers of the operator port: the VM has no disk, so that whoever asks gets the lines
// as they are recorded.
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
	// defaultDuration is how long a trace runs when the caller does not say.
	defaultDuration = 10 * time.Second
	// maxDuration is the longest time that a caller may ask for.
	maxDuration = 10 * time.Minute
	// stallTimeout is how long the caller may take to read the rest once the trace has ended.
	stallTimeout = 5 * time.Second
	// Path is the path of the operator port.
	Path = "/trace"
)

// Handler serves the traces of one recorder.
type Handler struct {
	recorder *trace.Recorder
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New makes the port of that recorder.
func New(recorder *trace.Recorder) *Handler {
	p := &Handler{recorder: recorder}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close ends the trace under way and waits until its reader has the rest or has had its time.
func (p *Handler) Close() {
	p.cancel()
	p.wg.Wait()
}

// Handle answers GET /trace?seconds=N with the lines of the next N seconds. One trace is recorded at a time.
func (p *Handler) Handle(_ context.Context, rc *app.RequestContext) {
	duration, ok := parseDuration(rc.Query("seconds"))
	if !ok {
		rc.String(http.StatusBadRequest, "seconds: must be a number over 0 and up to 600")
		return
	}
	capture, err := p.recorder.BeginCapture()
	if err != nil {
		rc.String(http.StatusConflict, err.Error())
		return
	}
	r, w := io.Pipe()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.stream(capture, duration, w)
	}()
	rc.Response.Header.Set("Content-Type", "application/jsonl")
	rc.SetBodyStream(r, -1)
}

// stream writes a capture for that long. A caller that does not read cannot hold the recorder: the capture ends in
// time, and the pipe a while later.
func (p *Handler) stream(capture *trace.Capture, duration time.Duration, w *io.PipeWriter) {
	ctx, cancel := context.WithTimeout(p.ctx, duration)
	defer cancel()
	stalled := time.AfterFunc(duration+stallTimeout, func() { _ = w.CloseWithError(io.ErrNoProgress) })
	defer stalled.Stop()
	stop := context.AfterFunc(ctx, func() {
		p.recorder.EndCapture(capture)
		stalled.Reset(stallTimeout)
	})
	defer stop()
	err := capture.Write(w)
	p.recorder.EndCapture(capture)
	_ = w.CloseWithError(err)
}

// parseDuration reads the length of a trace.
func parseDuration(text string) (time.Duration, bool) {
	if text == "" {
		return defaultDuration, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	// A number that is none compares as false to all others.
	if err == nil && seconds > 0 && seconds <= maxDuration.Seconds() {
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}
