package discovery

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// newState returns a discovery state that knows nothing yet and logs to log.
func newState(log *strings.Builder) *State {
	return Install(kernel.NewLoop(time.Now), Options{
		Node: "n1", Views: NewViews(), Metrics: metric.NewSet(), Log: slog.New(slog.NewTextHandler(log, nil)),
		TablePrefix: "table", EndpointPrefix: "endpoints/",
	})
}

// TestRestoreIsReported checks that a restore of the registry is logged and counted once, whichever read shows it first,
// and that a start is not taken for one.
func TestRestoreIsReported(t *testing.T) {
	tests := []struct {
		name  string
		reads []unit.Position
		want  int64
	}{
		{"start", []unit.Position{{Era: 3, Revision: 9}}, 0},
		{"one era", []unit.Position{{Era: 3, Revision: 9}, {Era: 3, Revision: 10}, {Era: 3, Revision: 10}}, 0},
		{"restored", []unit.Position{{Era: 0, Revision: 9}, {Era: 1, Revision: 4}, {Era: 1, Revision: 5}}, 1},
		{"restored to the same revision", []unit.Position{{Era: 1, Revision: 9}, {Era: 2, Revision: 9}}, 1},
		{"restored twice", []unit.Position{{Era: 1, Revision: 9}, {Era: 2, Revision: 4}, {Era: 3, Revision: 2}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log strings.Builder
			s := newState(&log)
			for _, p := range tt.reads {
				s.onListed(start, registry.Listed{Prefix: "endpoints/", Position: p})
				s.onListed(start, registry.Listed{Prefix: "table", Position: p})
			}
			assert.Equal(t, s.Metrics.Get("registry.restored"), tt.want)
			assert.Equal(t, strings.Count(log.String(), "registry restored from a copy"), int(tt.want), "%s", log.String())
		})
	}
}
