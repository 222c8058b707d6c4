// Package metric holds a process's counters and its latency histograms by search and rank, in the format of expvar.
package metric

import (
	"encoding/json"
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilspan/internal/core/unit"
)

const (
	// minMicros and maxMicros bound the recorded latencies.
	minMicros = 1
	maxMicros = 60_000_000
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 2
)

// Latency is a histogram of latencies. It is safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds one latency. Latencies out of bounds count as the nearest bound.
func (l *Latency) Record(d time.Duration) {
	us := min(max(d.Microseconds(), minMicros), maxMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(us)
}

// Quantile returns the quantile q, from 0 to 1, of the recorded latencies, 0 while there are none.
func (l *Latency) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.h.ValueAtQuantile(q*100)) * time.Microsecond
}

// Count returns the number of recorded latencies. Only tests call it.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// wireLatency is a histogram in the response of the operator port, in microseconds.
type wireLatency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// String returns the histogram as JSON; it implements expvar.Var.
func (l *Latency) String() string {
	l.mu.Lock()
	wire := wireLatency{
		Count: l.h.TotalCount(),
		P50:   l.h.ValueAtQuantile(50),
		P90:   l.h.ValueAtQuantile(90),
		P99:   l.h.ValueAtQuantile(99),
		P999:  l.h.ValueAtQuantile(99.9),
		Max:   l.h.Max(),
	}
	l.mu.Unlock()
	text, err := json.Marshal(wire)
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Set holds the metrics of one process. It is not published in the global expvar registry, so that several entry VMs
// can run in one process.
type Set struct {
	counters   *expvar.Map
	mu         sync.Mutex
	histograms map[latencyKey]*Latency
	published  *expvar.Map
}

type latencyKey struct {
	search unit.SearchName
	rank   unit.RankName
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		counters:   new(expvar.Map).Init(),
		histograms: make(map[latencyKey]*Latency),
		published:  new(expvar.Map).Init(),
	}
}

// Add adds n to the counter with that name.
func (s *Set) Add(name string, n int64) {
	s.counters.Add(name, n)
}

// RegisterGauge adds a metric whose value is read each time the set is written as JSON.
func (s *Set) RegisterGauge(name string, read func() any) {
	s.counters.Set(name, expvar.Func(read))
}

// RegisterLatency adds a histogram that belongs to no search, and returns it.
func (s *Set) RegisterLatency(name string) *Latency {
	l := NewLatency()
	s.published.Set(name, l)
	return l
}

// RecordStage records the duration of one stage of a query of that search. The histogram has the stage in place of
// the rank.
func (s *Set) RecordStage(search unit.SearchName, stage unit.RankName, took time.Duration) {
	s.histogram(search, stage).Record(took)
}

// Get returns the value of the counter with that name, 0 if there is none. Only tests call it.
func (s *Set) Get(name string) int64 {
	v, ok := s.counters.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// RecordResult counts the result code of a finished query and records its latency under its search and rank.
func (s *Set) RecordResult(search unit.SearchName, rank unit.RankName, code unit.Code, took time.Duration) {
	s.counters.Add("code."+strconv.Itoa(int(code)), 1)
	if code == unit.CodeUnknownSearch || code == unit.CodeUnknownRank {
		// These names come from the caller and are unbounded in number; they get no histograms.
		return
	}
	s.histogram(search, rank).Record(took)
}

// histogram returns the histogram of that search and rank, or stage, and creates it on first use.
func (s *Set) histogram(search unit.SearchName, rank unit.RankName) *Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := latencyKey{search: search, rank: rank}
	l, ok := s.histograms[key]
	if !ok {
		l = NewLatency()
		s.histograms[key] = l
		s.published.Set(string(search)+"."+string(rank), l)
	}
	return l
}

// String returns the whole set as JSON.
func (s *Set) String() string {
	return `{"counters":` + s.countersJSON() + `,"latency":` + s.published.String() + `}`
}

// countersJSON returns the counters and gauges as JSON. Gauges may take locks under which others add counters, so that they
// are read without the lock of the map.
func (s *Set) countersJSON() string {
	var vars []expvar.KeyValue
	s.counters.Do(func(kv expvar.KeyValue) { vars = append(vars, kv) })
	values := make(map[string]json.RawMessage, len(vars))
	for _, kv := range vars {
		values[kv.Key] = json.RawMessage(kv.Value.String())
	}
	text, err := json.Marshal(values)
	if err != nil {
		return "{}"
	}
	return string(text)
}
