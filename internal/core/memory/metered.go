package memory

import (
	"log/slog"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
)

// NewMeteredAccount returns an account of limit bytes with a gauge of the given name. Denials are counted, with the suffix
// ".denied", and logged.
func NewMeteredAccount(limit unit.Bytes, name string, metrics *metric.Set, log *slog.Logger) *Account {
	a := NewAccount(limit)
	a.OnDeny = func(used unit.Bytes) {
		metrics.Add(name+".denied", 1)
		log.Warn("memory denied", "account", name, "used", used, "limit", limit)
	}
	metrics.RegisterGauge(name, func() any { return a.Used() })
	return a
}
