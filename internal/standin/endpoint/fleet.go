package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// fastConnectTime is the connect time of endpoints with many connections, and connectLarge that of the others.
	fastConnectTime = time.Millisecond
	slowConnectTime = 6 * time.Millisecond
	// slowConnectMaxConnections is the number of connections up to which connecting is slow.
	slowConnectMaxConnections unit.Connections = 25
	// fleetQueueLimit is how many calls wait at one endpoint.
	fleetQueueLimit = 64
)

// FleetSettings describe all endpoints of a configuration.
type FleetSettings struct {
	// Median and Sigma give the log-normal service time.
	Median time.Duration
	Sigma  float64
	Seed   uint64
	// Loopback makes each endpoint listen at a free port of 127.0.0.1 and not at its configured address.
	Loopback bool
}

// Fleet is every endpoint of one configuration in one process.
type Fleet struct {
	servers map[unit.EndpointID]*Server
}

// StartFleet starts an endpoint for each one in built.
func StartFleet(built *catalog.Catalog, settings FleetSettings) (*Fleet, error) {
	f := &Fleet{servers: make(map[unit.EndpointID]*Server)}
	draw := newServiceTimeSource(settings)
	ran := newRunRecorder()
	for _, search := range built.Searches {
		for _, e := range search.Endpoints {
			s := New(endpointSettings(e, settings, draw, ran))
			if err := s.Start(); err != nil {
				return nil, errors.CombineErrors(err, f.Close())
			}
			f.servers[e.ID] = s
		}
	}
	return f, nil
}

func endpointSettings(
	e catalog.Endpoint, settings FleetSettings, draw func() time.Duration, ran func(unit.ShardID, unit.RequestID) bool,
) Settings {
	one := Settings{
		ID:          e.ID,
		Shard:       e.Shard,
		Listen:      e.Address,
		Slots:       e.Slots,
		Connections: e.Connections,
		QueueLimit:  fleetQueueLimit,
		ConnectTime: fastConnectTime,
		ServiceTime: draw,
		RecordRun:   ran,
	}
	if e.Connections <= slowConnectMaxConnections {
		one.ConnectTime = slowConnectTime
	}
	if settings.Loopback {
		one.Listen = "127.0.0.1:0"
	}
	return one
}

// newRunRecorder gives a function that remembers which requests have run at which shard, over all replicas; several goroutines
// may use it.
func newRunRecorder() func(unit.ShardID, unit.RequestID) bool {
	type run struct {
		shard unit.ShardID
		id    unit.RequestID
	}
	var mu sync.Mutex
	runs := make(map[run]bool)
	return func(shard unit.ShardID, id unit.RequestID) bool {
		mu.Lock()
		defer mu.Unlock()
		again := runs[run{shard, id}]
		runs[run{shard, id}] = true
		return again
	}
}

// newServiceTimeSource gives a source of service times that several goroutines may use.
func newServiceTimeSource(settings FleetSettings) func() time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(settings.Median) * math.Exp(settings.Sigma*random.NormFloat64()))
	}
}

// Addresses gives where each endpoint listens.
func (f *Fleet) Addresses() map[unit.EndpointID]unit.Address {
	all := make(map[unit.EndpointID]unit.Address, len(f.servers))
	for id, s := range f.servers {
		all[id] = s.Address()
	}
	return all
}

// Endpoint gives one endpoint, or nil.
func (f *Fleet) Endpoint(id unit.EndpointID) *Server {
	return f.servers[id]
}

// SetFaults replaces the faults of one endpoint; an unknown one is passed over.
func (f *Fleet) SetFaults(id unit.EndpointID, faults Faults) {
	if s := f.servers[id]; s != nil {
		s.SetFaults(faults)
	}
}

// StatsOf gives the counts of one endpoint, or of all when id is empty.
func (f *Fleet) StatsOf(id unit.EndpointID) Stats {
	if s := f.servers[id]; s != nil {
		return s.Stats()
	}
	return f.Stats()
}

// Stats gives the sum of all endpoints' counts.
func (f *Fleet) Stats() Stats {
	var sum Stats
	for _, s := range f.servers {
		one := s.Stats()
		sum.Runs += one.Runs
		sum.Refused += one.Refused
		sum.Wasted += one.Wasted
		sum.RepeatedRuns += one.RepeatedRuns
		sum.GivenUp += one.GivenUp
		sum.MaxPending = max(sum.MaxPending, one.MaxPending)
		if one.LastCallAt.After(sum.LastCallAt) {
			sum.LastCallAt = one.LastCallAt
		}
	}
	return sum
}

// Close ends every endpoint.
func (f *Fleet) Close() error {
	var all error
	for _, s := range f.servers {
		all = errors.CombineErrors(all, s.Close())
	}
	return all
}
