// Package load is the open-loop load sender: it sends queries at set rates, whatever becomes of them, checks every
// answer against what was asked, and sums up by search and rank.
//
// A query's latency counts from the moment at which it was to be sent, so that a sender that is held up hides nothing.
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
	// defaultMaxInFlight is how many queries of one run are under way at once when Settings do not say.
	defaultMaxInFlight = 2048
	// responseMargin is how much longer than its timeout a query waits for its answer.
	responseMargin = 2 * time.Second
)

// Flow is one kind of query at one rate.
type Flow struct {
	Search unit.SearchName
	Rank   unit.RankName
	// Rate is in queries a second.
	Rate    float64
	Timeout time.Duration
	Once    bool
}

// Settings describe one run.
type Settings struct {
	// EntryAddresses are the callers' addresses; they are used in turn.
	EntryAddresses []unit.Address
	Flows          []Flow
	Duration       time.Duration
	// Run makes the request ids of this run differ from those of others.
	Run string
	// MaxInFlight is how many queries may be under way at once, so that the sender cannot exhaust the machine; 0 means 2048.
	MaxInFlight int
}

// Run sends the flows and waits for every answer.
func Run(ctx context.Context, settings Settings) []Row {
	if settings.MaxInFlight <= 0 {
		settings.MaxInFlight = defaultMaxInFlight
	}
	client := newClient(settings.MaxInFlight)
	defer client.CloseIdleConnections()
	room := make(chan struct{}, settings.MaxInFlight)
	rows := make([]*rowCounter, len(settings.Flows))
	var wg sync.WaitGroup
	for i, flow := range settings.Flows {
		rows[i] = newRowCounter(flow)
		s := &sender{
			settings: settings,
			client:   client,
			inFlight: room,
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
	sums := make([]Row, len(rows))
	for i := range rows {
		sums[i] = rows[i].row
	}
	return sums
}

// newClient makes a client that follows no redirect and uses no proxy.
func newClient(limit int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: limit},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// sender sends one flow.
type sender struct {
	settings Settings
	client   *http.Client
	// inFlight holds a place for each query of the run that is under way.
	inFlight chan struct{}
	row      *rowCounter
	prefix   string
}

// run sends at the flow's rate; a send that is behind its time follows at once.
func (s *sender) run(ctx context.Context, flow Flow) {
	if flow.Rate <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / flow.Rate)
	total := int(s.settings.Duration / gap)
	begin := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range total {
		intended := begin.Add(time.Duration(n) * gap)
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

// send sends one query once there is room, and counts its end.
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

// acquire waits for room until the deadline; it says false when there was none.
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
