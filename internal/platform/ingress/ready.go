package ingress

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/listen"
)

// The paths of the platform's readiness check, which its load balancer uses to decide whether the VM gets callers,
// and of the counters and histograms.
const (
	pathReady   = "/api/ready"
	pathMetrics = "/metrics"
)

// Probe is a server for the readiness check and the metrics. If they have different addresses, one probe is installed
// for each.
type Probe struct {
	// Ready reports whether the VM accepts callers.
	Ready   func() bool
	Metrics *metric.Set

	server *listen.Server
}

// InstallProbe registers a probe with the kernel under the given name.
func InstallProbe(k *kernel.Kernel, name kernel.Name, address unit.Address, ready func() bool) error {
	p := &Probe{Ready: ready}
	return k.Register(kernel.Service{
		Name:  name,
		Value: p,
		Start: func(ctx context.Context) (err error) {
			if p.Metrics, err = kernel.Find[*metric.Set](k, kernel.ServiceMetrics); err != nil {
				return err
			}
			p.server, err = listen.Start(ctx, address, nil, func(h *server.Hertz, _ *keepalive.Tracker) {
				h.GET(pathReady, p.handleReady)
				h.GET(pathMetrics, p.handleMetrics)
			})
			return err
		},
		Close: func() error { return p.server.Close() },
	})
}

// handleReady responds with status 200 if the VM accepts callers, and with 503 if not.
func (p *Probe) handleReady(_ context.Context, rc *app.RequestContext) {
	if p.Ready() {
		rc.SetStatusCode(http.StatusOK)
		return
	}
	rc.SetStatusCode(http.StatusServiceUnavailable)
}

// handleMetrics responds with the counters and histograms as JSON.
func (p *Probe) handleMetrics(_ context.Context, rc *app.RequestContext) {
	rc.Data(http.StatusOK, "application/json", []byte(p.Metrics.String()))
}
