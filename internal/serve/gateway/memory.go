package gateway

import (
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
)

const (
	// DefaultMemory is the limit on the memory of the process if none is given, that of a small VM.
	DefaultMemory unit.Bytes = 160 << 20
	// accountShare is the part of that limit which the endpoints' replies may take, and the callers' requests as much. The
	// rest is for the process itself and for garbage that has not been collected.
	accountShare = 4
)

// newAccount returns an account for a part of the memory, with a gauge of the given name. Denials are counted and logged.
func (g *Gateway) newAccount(metrics *metric.Set, name string) *memory.Account {
	limit := g.options.Memory / accountShare
	a := memory.NewAccount(limit)
	a.OnDeny = func(used unit.Bytes) {
		metrics.Add(name+".denied", 1)
		g.options.Log.Warn("memory denied", "account", name, "used", used, "limit", limit)
	}
	metrics.RegisterGauge(name, func() any { return a.Used() })
	return a
}
