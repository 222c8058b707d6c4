// Package load is an open-loop load generator: it sends queries at fixed rates, independent of the answers, checks
// every answer against its query, and sums up the results by search and rank.
//
// A query's latency counts from its intended send time, so that a delay in the generator itself is part of the latency
// (no coordinated omission).
package load

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// defaultMaxInFlight is the maximum number of queries in flight if Settings sets none.
	defaultMaxInFlight = 2048
	// responseMargin is how long after its timeout a query still waits for its answer.
	responseMargin = 2 * time.Second
)

// Flow is a stream of queries of one search and rank at a fixed rate.
type Flow struct {
	Search unit.SearchName
	Rank   unit.RankName
	// Rate is in queries per second.
	Rate    float64
	Timeout time.Duration
	// Once marks the queries as non-idempotent: each must run at most once at a shard.
	Once bool
}

// Settings are the settings of one run.
type Settings struct {
	// EntryAddresses are the addresses at which the entry VMs accept callers; queries go to them in round-robin order.
	EntryAddresses []unit.Address
	Flows          []Flow
	Duration       time.Duration
	// Run is a prefix of the request ids that keeps them different from those of other runs.
	Run string
	// MaxInFlight is the maximum number of queries in flight, so that the generator can't exhaust the machine; 0 means
	// 2048.
	MaxInFlight int
}

// Run sends all flows at the same time, waits for every answer and returns a row for each flow, in the same order.
func Run(ctx context.Context, settings Settings) []Row {
	if settings.MaxInFlight <= 0 {
		settings.MaxInFlight = defaultMaxInFlight
	}
	client := newClient(settings.MaxInFlight)
	defer client.CloseIdleConnections()
	inFlight := make(chan struct{}, settings.MaxInFlight)
	rows := make([]*rowCounter, len(settings.Flows))
	var wg sync.WaitGroup
	for i, flow := range settings.Flows {
		rows[i] = newRowCounter(flow)
		s := &sender{
			settings: settings,
			client:   client,
			inFlight: inFlight,
			row:      rows[i],
			prefix:   settings.Run + "-" + strconv.Itoa(i),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.run(ctx, flow)
		}()
	}
	wg.Wait()
	results := make([]Row, len(rows))
	for i := range rows {
		results[i] = rows[i].row
	}
	return results
}

// newClient returns an HTTP client that follows no redirects, uses no proxy and keeps up to limit idle connections to
// each host.
func newClient(limit int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: limit},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// sender sends the queries of one flow.
type sender struct {
	settings Settings
	client   *http.Client
	// inFlight holds a token for each query in flight; all senders of a run share it.
	inFlight chan struct{}
	row      *rowCounter
	prefix   string
}

// run sends queries at the flow's rate until the run's duration is over or ctx ends, and waits for their answers. A
// query that is behind schedule is sent at once.
func (s *sender) run(ctx context.Context, flow Flow) {
	if flow.Rate <= 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / flow.Rate)
	total := int(s.settings.Duration / interval)
	begin := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range total {
		intended := begin.Add(time.Duration(n) * interval)
		timer := time.NewTimer(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.send(ctx, flow, n, intended)
		}()
	}
}

// send sends query n of the flow as soon as the in-flight limit admits it, and counts the result. A query that isn't
// admitted before its deadline counts as unsent.
func (s *sender) send(ctx context.Context, flow Flow, n int, intended time.Time) {
	deadline := intended.Add(flow.Timeout)
	if !s.acquire(ctx, deadline) {
		s.row.addUnsent()
		return
	}
	defer func() { <-s.inFlight }()
	id := s.prefix + "-" + strconv.Itoa(n)
	entry := s.settings.EntryAddresses[n%len(s.settings.EntryAddresses)]
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseMargin))
	defer cancel()
	answer, err := sendQuery(ctx, s.client, entry, id, flow, time.Until(deadline))
	if err != nil {
		s.row.addNoResponse(err)
		return
	}
	s.row.addAnswer(answer, id, time.Since(intended))
}

// acquire waits for an in-flight token and reports whether it got one before the deadline and the end of ctx.
func (s *sender) acquire(ctx context.Context, deadline time.Time) bool {
	select {
	case s.inFlight <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.inFlight <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
