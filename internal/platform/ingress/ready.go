package ingress

import (
	"context"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/port"
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

	listen  unit.Address
	server  *server.Hertz
	tracker *keepalive.Tracker
	done    chan struct{}
}

// InstallProbe registers a probe with the kernel under that name.
func InstallProbe(k *kernel.Kernel, name kernel.Name, listen unit.Address, ready func() bool) error {
	p := &Probe{Ready: ready, listen: listen, tracker: keepalive.New(), done: make(chan struct{})}
	return k.Register(kernel.Service{
		Name:  name,
		Value: p,
		Start: func(ctx context.Context) error {
			metrics, err := kernel.Find[*metric.Set](k, kernel.ServiceMetrics)
			if err != nil {
				return err
			}
			p.Metrics = metrics
			return p.start(ctx)
		},
		Close: p.close,
	})
}

func (p *Probe) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(p.listen))
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	options := append(p.tracker.Options(), server.WithListener(listener), server.WithDisablePrintRoute(true))
	p.server = server.New(options...)
	p.server.GET(pathReady, p.ready)
	p.server.GET(pathMetrics, p.metrics)
	go func() {
		defer close(p.done)
		_ = p.server.Run()
	}()
	return port.Await(ctx, listener.Addr())
}

func (p *Probe) close() error {
	p.tracker.BeginDrain()
	p.tracker.CloseIdle()
	err := p.server.Shutdown(context.Background())
	<-p.done
	return errors.Wrap(err, "close the port for the balancer")
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
