package ownership

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/member"
)

func members(n int, centres ...unit.CentreName) []member.Member {
	var all []member.Member
	for i := range n {
		all = append(all, member.Member{
			ID:     unit.NodeID("e" + strconv.Itoa(i+1)),
			Centre: centres[i%len(centres)],
			State:  member.StateLive,
		})
	}
	return all
}

func endpoints(n int, centre unit.CentreName) []catalog.Endpoint {
	var all []catalog.Endpoint
	for i := range n {
		all = append(all, catalog.Endpoint{ID: unit.EndpointID("s" + strconv.Itoa(i)), Centre: centre})
	}
	return all
}

func anyMember(member.Member) bool { return true }

// TestOwnerIsOfTheSameCentreFirst checks that an endpoint's owner is in its own data centre while a member there is
// live.
func TestOwnerIsOfTheSameCentreFirst(t *testing.T) {
	tests := []struct {
		name   string
		states []member.State
		centre unit.CentreName
		want   unit.CentreName
		ok     bool
	}{
		{"the same data centre first", []member.State{"live", "live", "live", "live"}, "amman", "amman", true},
		{"else another data centre", []member.State{"leaving", "live", "leaving", "live"}, "amman", "zarqa", true},
		{"none", []member.State{"leaving", "leaving", "leaving", "leaving"}, "amman", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := members(4, "amman", "zarqa")
			for i := range all {
				all[i].State = tt.states[i]
			}
			for _, e := range endpoints(50, tt.centre) {
				owner, ok := Owner(all, e, anyMember)
				assert.Equal(t, ok, tt.ok)
				assert.Equal(t, owner.Centre, tt.want)
			}
		})
	}
}

// TestLossMovesOnlyLostOwners removes one member and checks that every endpoint of another member keeps its owner,
// regardless of the order of the member list.
func TestLossMovesOnlyLostOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "members")
		all := members(n, "amman", "zarqa", "irbid")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		shuffled := rapid.Permutation(all).Draw(t, "order")
		for _, e := range endpoints(40, "zarqa") {
			before, _ := Owner(all, e, anyMember)
			after, ok := Owner(shuffled, e, func(m member.Member) bool { return m.ID != all[lost].ID })
			assert.Assert(t, ok)
			if before.ID != all[lost].ID {
				assert.Equal(t, after.ID, before.ID)
			}
		}
	})
}

// TestOwnersAreSpread checks that 7 members own about equally many endpoints.
func TestOwnersAreSpread(t *testing.T) {
	count := make(map[unit.NodeID]int)
	for _, e := range endpoints(1400, "amman") {
		owner, _ := Owner(members(7, "amman"), e, anyMember)
		count[owner.ID]++
	}
	for id, n := range count {
		assert.Assert(t, n > 150 && n < 250, "%s owns %d of 1400", id, n)
	}
	assert.Equal(t, len(count), 7)
}

// TestTrust checks after which calls, responses, failures and silence a peer is usable.
func TestTrust(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type step struct {
		do     func(now time.Time, trust *Trust)
		after  time.Duration
		usable bool
	}
	sent := func(now time.Time, trust *Trust) { trust.RecordSent(now) }
	check := func(now time.Time, trust *Trust) { trust.CheckSilence(now) }
	probed := func(now time.Time, trust *Trust) { trust.RecordResponse(now, false) }
	replied := func(now time.Time, trust *Trust) { trust.RecordEnded(); trust.RecordResponse(now, true) }
	lost := func(now time.Time, trust *Trust) { trust.RecordEnded(); trust.RecordConnectionFailure(now) }
	tests := []struct {
		name  string
		steps []step
	}{
		{"a new peer is usable", nil},
		{"a probe reply during a slow call prevents suspicion", []step{
			{sent, 0, true},
			{probed, 100 * time.Millisecond, true},
			{check, 200 * time.Millisecond, true},
		}},
		{"silence makes the peer unusable", []step{{sent, 0, true}, {check, 200 * time.Millisecond, false}}},
		{"no suspicion without a call in flight", []step{
			{sent, 0, true}, {replied, 10 * time.Millisecond, true}, {check, time.Hour, true},
		}},
		{"a failed connection makes the peer unusable", []step{{sent, 0, true}, {lost, time.Millisecond, false}}},
		{"a response after suspicion permits one call", []step{
			{sent, 0, true},
			{check, 200 * time.Millisecond, false},
			{
				func(now time.Time, trust *Trust) { trust.RecordEnded(); trust.RecordResponse(now, false) },
				300 * time.Millisecond, true,
			},
			{sent, 300 * time.Millisecond, false},
			{replied, 310 * time.Millisecond, true},
			{sent, 310 * time.Millisecond, true},
			{sent, 310 * time.Millisecond, false},
		}},
		{"silence during probation makes the peer unusable again", []step{
			{sent, 0, true},
			{check, 200 * time.Millisecond, false},
			{probed, 300 * time.Millisecond, false},
			{check, 500 * time.Millisecond, false},
			{func(_ time.Time, trust *Trust) { trust.RecordEnded() }, 500 * time.Millisecond, false},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			trust := NewTrust()
			for i, s := range tt.steps {
				s.do(start.Add(s.after), trust)
				assert.Equal(t, trust.Usable(), s.usable, "step %d", i)
			}
		})
	}
}
