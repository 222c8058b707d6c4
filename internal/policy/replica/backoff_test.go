package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// TestBackoffSpread checks that a backoff ends after the time that the endpoint asked for, spread at random.
func TestBackoffSpread(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		random float64
		want   time.Duration
	}{
		{"earliest", 2 * time.Second, 0, 2 * time.Second},
		{"latest", 2 * time.Second, 1, 2400 * time.Millisecond},
		{"latest after a long time", time.Minute, 1, 62 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("here", func() float64 { return tt.random })
			until, begun := tr.RecordBackoff(at(0), endpoint("a", "here"), tt.wait)
			assert.Equal(t, until.Sub(at(0)), tt.want)
			assert.Assert(t, begun)
			_, begun = tr.RecordBackoff(at(1), endpoint("a", "here"), tt.wait)
			assert.Assert(t, !begun)
		})
	}
}

func TestAvailableAt(t *testing.T) {
	a, b := endpoint("a", "here"), endpoint("b", "here")
	tests := []struct {
		name string
		do   []func(*Tracker)
		all  []directory.Endpoint
		want time.Time
		none bool
	}{
		{name: "no endpoint", none: true},
		{name: "one without a backoff", all: []directory.Endpoint{a}, want: at(0)},
		{
			name: "all turn requests away", all: []directory.Endpoint{a, b}, want: at(1000),
			do: []func(*Tracker){turnedAway(a, 2*time.Second), turnedAway(b, time.Second)},
		},
		{
			name: "one of two turns requests away", all: []directory.Endpoint{a, b}, want: at(0),
			do: []func(*Tracker){turnedAway(a, 2*time.Second)},
		},
		{
			name: "the other one is misdirected", all: []directory.Endpoint{a, b}, want: at(2000),
			do: []func(*Tracker){turnedAway(a, 2*time.Second), func(tr *Tracker) {
				tr.RecordMisdirected(at(0), "b", unit.Position{}, at(0))
			}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("here", func() float64 { return 0 })
			for _, do := range tt.do {
				do(tr)
			}
			got, ok := tr.AvailableAt(at(0), tt.all)
			assert.Equal(t, ok, !tt.none)
			assert.Assert(t, got.Equal(tt.want), "%v", got)
		})
	}
}
