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
	// fastConnectTime is the connect time of endpoints with more than slowConnectMaxConnections connections, and
	// slowConnectTime that of the others.
	fastConnectTime = time.Millisecond
	slowConnectTime = 6 * time.Millisecond
	// slowConnectMaxConnections is the largest connection limit of an endpoint that connects slowly.
	slowConnectMaxConnections unit.Connections = 25
	// fleetQueueLimit is the maximum number of calls that wait at one endpoint.
	fleetQueueLimit = 64
)

// FleetSettings are the settings that all endpoints of a fleet share.
type FleetSettings struct {
	// Median and Sigma are the parameters of the log-normal service time; Seed seeds its random numbers.
	Median time.Duration
	Sigma  float64
	Seed   uint64
	// Loopback makes each endpoint listen at a free port of 127.0.0.1 instead of its configured address.
	Loopback bool
}

// Fleet runs all endpoints of one configuration in one process.
type Fleet struct {
	servers map[unit.EndpointID]*Server
}

// StartFleet starts a simulated endpoint for each endpoint of the configuration. If one fails to start, it closes the
// others and returns the error.
func StartFleet(built *catalog.Catalog, settings FleetSettings) (*Fleet, error) {
	f := &Fleet{servers: make(map[unit.EndpointID]*Server)}
	serviceTime := newServiceTimeSource(settings)
	recordRun := newRunRecorder()
	for _, search := range built.Searches {
		for _, e := range search.Endpoints {
			s := New(endpointSettings(e, settings, serviceTime, recordRun))
			if err := s.Start(); err != nil {
				return nil, errors.CombineErrors(err, f.Close())
			}
			f.servers[e.ID] = s
		}
	}
	return f, nil
}

// endpointSettings returns the settings of one endpoint of the fleet.
func endpointSettings(
	e catalog.Endpoint, settings FleetSettings,
	serviceTime func() time.Duration, recordRun func(unit.ShardID, unit.RequestID) bool,
) Settings {
	result := Settings{
		ID:          e.ID,
		Shard:       e.Shard,
		Listen:      e.Address,
		Slots:       e.Slots,
		Connections: e.Connections,
		QueueLimit:  fleetQueueLimit,
		ConnectTime: fastConnectTime,
		ServiceTime: serviceTime,
		RecordRun:   recordRun,
	}
	if e.Connections <= slowConnectMaxConnections {
		result.ConnectTime = slowConnectTime
	}
	if settings.Loopback {
		result.Listen = "127.0.0.1:0"
	}
	return result
}

// newRunRecorder returns a function that records a run of a request at a shard and reports whether the request had
// already run there, at any replica. It is safe for concurrent use.
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
		repeated := runs[run{shard, id}]
		runs[run{shard, id}] = true
		return repeated
	}
}

// newServiceTimeSource returns a function that returns log-normally distributed service times. It is safe for
// concurrent use.
func newServiceTimeSource(settings FleetSettings) func() time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(settings.Median) * math.Exp(settings.Sigma*random.NormFloat64()))
	}
}

// Addresses returns the address that each endpoint listens at.
func (f *Fleet) Addresses() map[unit.EndpointID]unit.Address {
	all := make(map[unit.EndpointID]unit.Address, len(f.servers))
	for id, s := range f.servers {
		all[id] = s.Address()
	}
	return all
}

// Endpoint returns an endpoint of the fleet, or nil if there is none with this id.
func (f *Fleet) Endpoint(id unit.EndpointID) *Server {
	return f.servers[id]
}

// SetFaults replaces the faults of one endpoint; an unknown id is ignored.
func (f *Fleet) SetFaults(id unit.EndpointID, faults Faults) {
	if s := f.servers[id]; s != nil {
		s.SetFaults(faults)
	}
}

// StatsOf returns the counters of one endpoint, or the sum over all endpoints if the id is empty or unknown.
func (f *Fleet) StatsOf(id unit.EndpointID) Stats {
	if s := f.servers[id]; s != nil {
		return s.Stats()
	}
	return f.Stats()
}

// Stats returns the sum of all endpoints' counters; MaxPending and LastCallAt are maxima over the endpoints.
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

// Close stops all endpoints.
func (f *Fleet) Close() error {
	var all error
	for _, s := range f.servers {
		all = errors.CombineErrors(all, s.Close())
	}
	return all
}
