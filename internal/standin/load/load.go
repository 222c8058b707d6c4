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
	// defaultLimit is how many queries of one run are under way at once when Settings do not say.
	defaultLimit = 2048
	// answerSlack is how much longer than its timeout a query waits for its answer.
	answerSlack = 2 * time.Second
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
	// Entries are the callers' addresses; they are used in turn.
	Entries  []unit.Address
	Flows    []Flow
	Duration time.Duration
	// Run makes the request ids of this run differ from those of others.
	Run string
	// Limit is how many queries may be under way at once, so that the sender cannot exhaust the machine; 0 means 2048.
	Limit int
}

// Run sends the flows and waits for every answer.
func Run(ctx context.Context, settings Settings) []Row {
	if settings.Limit <= 0 {
		settings.Limit = defaultLimit
	}
	client := newClient(settings.Limit)
	defer client.CloseIdleConnections()
	room := make(chan struct{}, settings.Limit)
	rows := make([]*row, len(settings.Flows))
	var wg sync.WaitGroup
	for i, flow := range settings.Flows {
		rows[i] = newRow(flow)
		s := &sender{
			settings: settings,
			client:   client,
			room:     room,
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
	// room holds a place for each query of the run that is under way.
	room   chan struct{}
	row    *row
	prefix string
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
			s.one(ctx, flow, n, intended)
		}()
	}
}

// one sends one query once there is room, and counts its end.
func (s *sender) one(ctx context.Context, flow Flow, n int, intended time.Time) {
	deadline := intended.Add(flow.Timeout)
	if !s.enter(ctx, deadline) {
		s.row.unsent()
		return
	}
	defer func() { <-s.room }()
	id := s.prefix + "-" + strconv.Itoa(n)
	entry := s.settings.Entries[n%len(s.settings.Entries)]
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerSlack))
	defer cancel()
	answer, err := ask(ctx, s.client, entry, id, flow, time.Until(deadline))
	if err != nil {
		s.row.cut(err)
		return
	}
	s.row.answered(answer, id, time.Since(intended))
}

// enter waits for room until the deadline; it says false when there was none.
func (s *sender) enter(ctx context.Context, deadline time.Time) bool {
	select {
	case s.room <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.room <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
