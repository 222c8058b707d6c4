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

// pathReady is where the platform's balancer asks whether the VM takes callers, and pathMetrics where counters and
// histograms are read.
const (
	pathReady   = "/api/ready"
	pathMetrics = "/metrics"
)

// Probe is the port for the balancer and for metrics; both may listen at the same or at another address.
type Probe struct {
	// Ready says whether the VM takes callers.
	Ready   func() bool
	Metrics *metric.Set

	server *listen.Server
}

// InstallProbe registers a probe with the kernel under that name.
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
				h.GET(pathReady, p.ready)
				h.GET(pathMetrics, p.metrics)
			})
			return err
		},
		Close: func() error { return p.server.Close() },
	})
}

func (p *Probe) ready(_ context.Context, rc *app.RequestContext) {
	if p.Ready() {
		rc.SetStatusCode(http.StatusOK)
		return
	}
	rc.SetStatusCode(http.StatusServiceUnavailable)
}

func (p *Probe) metrics(_ context.Context, rc *app.RequestContext) {
	rc.Data(http.StatusOK, "application/json", []byte(p.Metrics.String()))
}
