package listen

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/unit"
)

// maxRecycled is the size of the largest request, in bytes, whose context hertz uses again.
const maxRecycled unit.Bytes = 2 << 10

// contextFilter is a tracer that keeps the contexts of large requests out of hertz's pool. A context keeps buffers for all
// that it has carried, and a connection holds one from the first byte of a request, when little of that is charged.
type contextFilter struct{}

// Start does nothing.
func (contextFilter) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// Finish is called after the response to a request, before its context goes to the pool.
func (contextFilter) Finish(_ context.Context, rc *app.RequestContext) {
	h := &rc.Request.Header
	n := len(h.RequestURI()) + len(h.RawHeaders()) + max(0, h.ContentLength())
	if isChunked := h.ContentLength() == -1; isChunked || unit.Bytes(n) > maxRecycled {
		rc.Exile()
	}
}
