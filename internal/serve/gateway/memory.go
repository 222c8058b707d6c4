package gateway

import (
	"basilspan/internal/core/memory"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/intake"
	"basilspan/internal/serve/listen"
)

const (
	// DefaultMemory is the limit on the memory of the process if none is given, that of a small VM.
	DefaultMemory unit.Bytes = 160 << 20
	// accountShare is the part of that limit which the endpoints' replies may take, and the callers' requests as much. The
	// rest is for the process itself and for garbage that has not been collected.
	accountShare = 4
	// peerAccountShare is the part which messages of other entry VMs may take.
	peerAccountShare = 8
	// probeAccountShare is the part which probes, and the responses to them, may take.
	probeAccountShare = 16
)

// callerBounds returns the bounds on callers. What they have refused is counted and logged.
func (g *Gateway) callerBounds(metrics *metric.Set, requests, replies *memory.Account) listen.Bounds {
	s := g.settings.Intake
	connections := s.Connections
	if connections == 0 {
		connections = intake.MaxConnections(g.options.Memory/accountShare, g.options.Descriptors)
	}
	return listen.Bounds{
		Memory: requests, Answers: replies, Lines: s.Lines, Connections: connections, Whole: s.Whole,
		OnRefuse: listen.RefusalRecorder(metrics, g.options.Log, "callers"),
	}
}

// newLink returns the link to the other entry VMs, with bounds on what they take together.
func (g *Gateway) newLink(account *memory.Account) *peer.Link {
	link := peer.New(g.settings.Peers)
	link.Memory = account
	link.MaxIncoming = intake.MaxPeerConnections(g.options.Memory/peerAccountShare, g.options.Descriptors)
	return link
}

// newAccount returns an account of limit bytes.
func (g *Gateway) newAccount(metrics *metric.Set, name string, limit unit.Bytes) *memory.Account {
	return memory.NewMeteredAccount(limit, name, metrics, g.options.Log)
}
