package ingress

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/keepalive"
	"basilspan/internal/serve/listen"
)

// The paths of the platform's readiness check, which its load balancer uses to decide whether the VM gets callers,
// of the counters and histograms, and of the routing table in force.
const (
	pathReady   = "/api/ready"
	pathMetrics = "/metrics"
	pathTable   = "/table"
)

const (
	// probeReadTimeout bounds the wait for the next byte of a probe that has started.
	probeReadTimeout = 10 * time.Second
	// probeWriteTimeout bounds the wait for a prober that does not read its response.
	probeWriteTimeout = 10 * time.Second
	// probeIdleTimeout is how long a connection may wait for its next probe.
	probeIdleTimeout = 3 * time.Minute
	// probeBytes bounds the header and the body of a probe.
	probeBytes = 16 << 10
	// probeConnections bounds the open connections of probers. If more come, the others give way.
	probeConnections = 64
	// probeExitWait bounds how long closing a probe waits for requests in flight. The probes close one after the other,
	// in the time that the schedule of a stop reserves for the exit of the process.
	probeExitWait = 50 * time.Millisecond
)

// Probe is a server for the readiness check and the metrics. If they have different addresses, one probe is installed
// for each.
type Probe struct {
	// Ready reports whether the VM accepts callers.
	Ready   func() bool
	Metrics *metric.Set
	Views   *discovery.Views

	server *listen.Server
}

// InstallProbe registers a probe with the kernel under the given name.
func InstallProbe(
	k *kernel.Kernel, name kernel.Name, address unit.Address, ready func() bool, log *slog.Logger,
) error {
	p := &Probe{Ready: ready}
	return k.Register(kernel.Service{
		Name:  name,
		Value: p,
		Start: func(ctx context.Context) (err error) {
			if p.Metrics, err = kernel.Find[*metric.Set](k, kernel.ServiceMetrics); err != nil {
				return err
			}
			if p.Views, err = kernel.Find[*discovery.Views](k, kernel.ServiceViews); err != nil {
				return err
			}
			account, err := kernel.Find[*memory.Account](k, kernel.ServiceProbeMemory)
			if err != nil {
				return err
			}
			options := []config.Option{
				server.WithReadTimeout(probeReadTimeout),
				server.WithWriteTimeout(probeWriteTimeout),
				server.WithIdleTimeout(probeIdleTimeout),
				server.WithExitWaitTime(probeExitWait),
				server.WithMaxHeaderBytes(probeBytes),
				server.WithMaxRequestBodySize(probeBytes),
			}
			bounds := listen.Bounds{
				Memory: account, Output: true, Expendable: true, Connections: probeConnections,
				OnRefuse: listen.RefusalRecorder(p.Metrics, log, string(name)),
			}
			p.server, err = listen.Start(ctx, address, bounds, options, func(h *server.Hertz, _ *keepalive.Tracker) {
				h.GET(pathReady, p.handleReady)
				h.GET(pathMetrics, p.handleMetrics)
				if name == kernel.ServiceMetricsPort {
					h.GET(pathTable, p.handleTable)
				}
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

// wireTable is the response with the routing table in force as it was published, null if there is none, and the number
// of endpoints of each service that this VM may send requests to.
type wireTable struct {
	Table     json.RawMessage          `json:"table"`
	Endpoints map[unit.ServiceName]int `json:"endpoints"`
}

// handleTable responds with the routing table in force, which operators compare with the next one.
func (p *Probe) handleTable(_ context.Context, rc *app.RequestContext) {
	v := p.Views.Load()
	w := wireTable{Table: v.TableValue, Endpoints: make(map[unit.ServiceName]int)}
	for s, endpoints := range v.Endpoints {
		w.Endpoints[s] = len(endpoints)
	}
	body, err := json.Marshal(w)
	if err != nil {
		rc.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rc.Data(http.StatusOK, "application/json", body)
}
