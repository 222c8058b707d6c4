// Package load is the open-loop load sender: it sends queries at set rates, whatever becomes of them, checks every
// answer against what was asked, and sums up by search and rank.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
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
}

type (
	wireQuery struct {
		ID      string `json:"id"`
		Search  string `json:"search"`
		Rank    string `json:"rank"`
		Timeout int64  `json:"timeout"`
		Once    bool   `json:"once"`
		Body    []byte `json:"body"`
	}

	wireAnswer struct {
		ID       string        `json:"id"`
		Code     int           `json:"code"`
		Snapshot uint64        `json:"snapshot"`
		Asked    int           `json:"asked"`
		Parts    []wirePart    `json:"parts"`
		Missing  []wireMissing `json:"missing"`
	}

	wirePart struct {
		Shard string `json:"shard"`
		Body  []byte `json:"body"`
	}

	wireMissing struct {
		Shard string `json:"shard"`
	}
)

// Row sums up one flow.
type Row struct {
	Flow    Flow
	Sent    int64
	Whole   int64
	Partial int64
	NotRun  int64
	Unknown int64
	// Late are whole answers that came after the timeout.
	Late int64
	// Broken are answers that break an invariant: of another request, of two snapshots, or with false coverage.
	Broken  int64
	Latency *metric.Latency
}

// row is a Row that several goroutines add to.
type row struct {
	mu  sync.Mutex
	row Row
}

// Run sends the flows and waits for every answer.
func Run(ctx context.Context, settings Settings) []Row {
	client := &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	rows := make([]*row, len(settings.Flows))
	var wg sync.WaitGroup
	for i, flow := range settings.Flows {
		rows[i] = &row{row: Row{Flow: flow, Latency: metric.NewLatency()}}
		s := &sender{settings: settings, client: client, row: rows[i], prefix: settings.Run + "-" + strconv.Itoa(i)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.run(ctx)
		}()
	}
	wg.Wait()
	sums := make([]Row, len(rows))
	for i := range rows {
		sums[i] = rows[i].row
	}
	return sums
}

// sender sends one flow.
type sender struct {
	settings Settings
	client   *http.Client
	row      *row
	prefix   string
}

// run sends at the flow's rate; a send that is behind its time follows at once.
func (s *sender) run(ctx context.Context) {
	flow := s.row.row.Flow
	if flow.Rate <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / flow.Rate)
	total := int(s.settings.Duration / gap)
	begin := time.Now()
	var wg sync.WaitGroup
	for n := range total {
		timer := time.NewTimer(time.Until(begin.Add(time.Duration(n) * gap)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			wg.Wait()
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.one(ctx, n)
		}()
	}
	wg.Wait()
}

// one sends one query and counts its end.
func (s *sender) one(ctx context.Context, n int) {
	flow := s.row.row.Flow
	id := s.prefix + "-" + strconv.Itoa(n)
	entry := s.settings.Entries[n%len(s.settings.Entries)]
	began := time.Now()
	answer, err := s.ask(ctx, entry, id, flow)
	took := time.Since(began)
	s.row.mu.Lock()
	defer s.row.mu.Unlock()
	r := &s.row.row
	r.Sent++
	if err != nil {
		r.Unknown++
		return
	}
	if broken(answer, id) {
		r.Broken++
	}
	code := unit.Code(answer.Code)
	switch {
	case code == unit.CodeWhole && took > flow.Timeout:
		r.Late++
	case code == unit.CodeWhole:
		r.Whole++
	case code == unit.CodePartial:
		r.Partial++
	case code.Outcome() == unit.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	if code.Outcome() == unit.OutcomeAnswered {
		r.Latency.Record(took)
	}
}

func (s *sender) ask(ctx context.Context, entry unit.Address, id string, flow Flow) (wireAnswer, error) {
	var answer wireAnswer
	body, err := json.Marshal(wireQuery{
		ID:      id,
		Search:  string(flow.Search),
		Rank:    string(flow.Rank),
		Timeout: flow.Timeout.Milliseconds(),
		Once:    flow.Once,
		Body:    []byte(id),
	})
	if err != nil {
		return answer, errors.Wrap(err, "encode a query")
	}
	url := "http://" + string(entry) + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, errors.Wrap(err, "build a query")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer, errors.Wrap(err, "send a query")
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, errors.Wrap(err, "read an answer")
	}
	return answer, errors.Wrap(json.Unmarshal(content, &answer), "decode an answer")
}

// broken says whether an answer breaks an invariant.
func broken(answer wireAnswer, id string) bool {
	if answer.ID != id {
		return true
	}
	if unit.Code(answer.Code).Outcome() != unit.OutcomeAnswered {
		return len(answer.Parts) > 0
	}
	if len(answer.Parts)+len(answer.Missing) != answer.Asked {
		return true
	}
	if unit.Code(answer.Code) == unit.CodeWhole && len(answer.Missing) > 0 {
		return true
	}
	seen := make(map[string]bool)
	snapshot := strconv.FormatUint(answer.Snapshot, 10)
	for _, p := range answer.Parts {
		want := endpoint.Body(unit.RequestID(id), unit.ShardID(p.Shard), snapshot)
		if seen[p.Shard] || !bytes.Equal(p.Body, want) {
			return true
		}
		seen[p.Shard] = true
	}
	return false
}
