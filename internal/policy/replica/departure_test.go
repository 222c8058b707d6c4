package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
)

// TestDeparture checks which registrations end the news that an endpoint is leaving.
func TestDeparture(t *testing.T) {
	registration := func(born int, era unit.Era, revision unit.Revision, sequence unit.Sequence) directory.Endpoint {
		r := directory.Registration{ID: "a", Position: unit.Position{Era: era, Revision: revision}, Sequence: sequence}
		if born != 0 {
			r.Born = at(born)
		}
		return directory.Endpoint{Registration: r}
	}
	tests := []struct {
		name   string
		told   directory.Endpoint
		listed directory.Endpoint
		ends   bool
	}{
		{"the same registration", registration(5, 0, 7, 3), registration(5, 0, 7, 3), false},
		{"a later registration of the incarnation", registration(5, 0, 7, 3), registration(5, 0, 8, 4), false},
		{"an older one after a restore of the registry", registration(5, 0, 7, 3), registration(5, 1, 2, 1), false},
		{"a later one after a restore of the registry", registration(5, 0, 7, 3), registration(5, 1, 9, 4), false},
		{"the next incarnation", registration(5, 0, 7, 3), registration(6, 0, 8, 0), true},
		{"the incarnation before", registration(5, 0, 7, 3), registration(4, 1, 9, 9), false},
		{"unknown start, the same registration", registration(0, 0, 7, 3), registration(0, 0, 7, 3), false},
		{"unknown start, an earlier registration", registration(0, 0, 7, 3), registration(0, 0, 6, 2), false},
		{"unknown start, a later registration", registration(0, 0, 7, 3), registration(0, 0, 8, 4), true},
		{"unknown start, an older one after a restore", registration(0, 0, 7, 3), registration(0, 1, 9, 3), false},
		{"unknown start, a later one after a restore", registration(0, 0, 7, 3), registration(0, 1, 2, 4), true},
		{"start known only now, a later registration", registration(0, 0, 7, 3), registration(6, 0, 8, 0), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("here", func() float64 { return 0 })
			assert.Assert(t, tr.RecordLeaving(at(0), DepartureOf(tt.told.Registration)))
			want := -1
			if tt.ends {
				want = 0
			}
			all := []directory.Endpoint{tt.listed}
			assert.Equal(t, tr.Choose(at(60000), "r", all, nil, false), want)
			assert.Equal(t, tr.Unwanted(at(60000), all), !tt.ends)
			assert.Equal(t, tr.RecordLeaving(at(1), DepartureOf(tt.listed.Registration)), tt.ends)
		})
	}
}

// TestLastResort checks for how long a leaving endpoint is used when there is no other.
func TestLastResort(t *testing.T) {
	tests := []struct {
		name  string
		drain time.Duration
		want  time.Duration
	}{
		{"not configured", 0, 500 * time.Millisecond},
		{"short", 400 * time.Millisecond, 100 * time.Millisecond},
		{"usual", 3 * time.Second, 750 * time.Millisecond},
		{"long", time.Minute, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New("here", func() float64 { return 0 })
			tr.SetDrain(tt.drain)
			a := endpoint("a", "here")
			saidLeaving(a)(tr)
			assert.Assert(t, tr.MayUse(at(0).Add(tt.want-1), a))
			assert.Assert(t, !tr.MayUse(at(0).Add(tt.want), a))
		})
	}
}
