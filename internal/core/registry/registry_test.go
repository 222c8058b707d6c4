package registry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

var errDown = errors.New("down")

// fullPrefix marks the scripted response of a peer that is a full listing.
const fullPrefix = "full "

// script scripts the responses of a registry and its peers to each kind of call, in order: "" is an error, "410" is
// ErrCompacted, "7" a response at revision 7 without changes and "7+" one with a change. "1/7" is revision 7 of era 1;
// "full 7+" is a full listing from a peer. After the last response a call blocks until the end of the test. recorded
// holds the calls and events seen so far; a watch that hardly waits is a "glance".
type script struct {
	list, watch, relay, peers []string
	// offers are the positions that peers offer after each listing.
	offers []unit.Position

	mu       sync.Mutex
	recorded []string
}

// next removes the first of the scripted responses and returns it.
func (s *script) next(ctx context.Context, responses *[]string) (Listing, error) {
	s.mu.Lock()
	if len(*responses) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	text := (*responses)[0]
	*responses = (*responses)[1:]
	s.mu.Unlock()
	switch text {
	case "":
		return Listing{}, errDown
	case "410":
		return Listing{}, ErrCompacted
	}
	text = strings.TrimPrefix(text, fullPrefix)
	var l Listing
	if !strings.Contains(text, "/") {
		text = "0/" + text
	}
	if _, err := fmt.Sscanf(text, "%d/%d", &l.Era, &l.Revision); err != nil {
		return Listing{}, err
	}
	if strings.HasSuffix(text, "+") {
		l.Items = []Item{{Position: l.Position, Key: "p/1"}}
	}
	return l, nil
}

// text returns a position in the form of the scripts.
func text(p unit.Position) string {
	if p.Era == 0 {
		return fmt.Sprint(p.Revision)
	}
	return fmt.Sprint(p.Era, "/", p.Revision)
}

func (s *script) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, fmt.Sprintf(format, args...))
}

func (s *script) log() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.recorded, ", ")
}

// follower returns a follower of the script whose peers had their last response from the registry age ago.
func (s *script) follower(role Role, age time.Duration) *Follower {
	return &Follower{
		Prefix: "p/",
		Now:    time.Now,
		List: func(ctx context.Context, _ Prefix) (Listing, error) {
			return s.next(ctx, &s.list)
		},
		Watch: func(ctx context.Context, _ Prefix, after unit.Revision, wait time.Duration) (Listing, error) {
			if wait == catchUpWait {
				s.record("glance %d", after)
			} else {
				s.record("watch %d", after)
			}
			return s.next(ctx, &s.watch)
		},
		PeerListing: func(ctx context.Context, _ Prefix, _ unit.Position) (Listing, error) {
			if len(s.peers) == 0 {
				return Listing{}, errDown
			}
			return s.next(ctx, &s.peers)
		},
		PeerValues: func(context.Context, Prefix) []Listing {
			var all []Listing
			for _, p := range s.offers {
				all = append(all, Listing{Position: p})
			}
			return all
		},
		Relay: func(ctx context.Context, _ Prefix, after Cursor, _ time.Duration) (Update, error) {
			s.record("relay %s", text(after.Position))
			full := after.Revision == 0 || len(s.relay) > 0 && strings.HasPrefix(s.relay[0], fullPrefix)
			l, err := s.next(ctx, &s.relay)
			return Update{Listing: l, Full: full, ConfirmedAt: time.Now().Add(-age)}, err
		},
		Role: func() Role { return role },
		Post: func(_ context.Context, event any) error {
			s.post(event)
			return nil
		},
		Rand: func() float64 { return 0 },
		Log:  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func (s *script) post(event any) {
	switch e := event.(type) {
	case Listed:
		by := ""
		if e.FromPeer {
			by = " by a peer"
		}
		s.record("listed %s%s", text(e.Position), by)
	case Changed:
		s.record("changed %s", text(e.Position))
	case Offered:
		s.record("offered")
	case ReadFailed:
		s.record("lost")
	}
}

// TestFollower checks the order of calls and events while the registry or its peers answer, fail or are out of date.
func TestFollower(t *testing.T) {
	tests := []struct {
		name   string
		script *script
		role   Role
		age    time.Duration
		want   string
	}{
		{
			"listing and then changes", &script{list: []string{"5+"}, watch: []string{"5", "7+"}}, RoleStandalone, 0,
			"listed 5, watch 5, changed 5, watch 5, changed 7, watch 7",
		},
		{
			"compacted history", &script{list: []string{"5+", "9+"}, watch: []string{"410"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 9, watch 9",
		},
		{
			"history compacted again before a watch succeeds",
			&script{list: []string{"5+", "6+", "7+", "9+"}, watch: []string{"410", "410", "8+", "410"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 6, watch 6, lost, listed 7, watch 7, changed 8, watch 8, listed 9, watch 9",
		},
		{
			"history compacted again, peer has older history",
			&script{list: []string{"5+", "6+", "8+"}, watch: []string{"410", "410"}, peers: []string{"7+"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 6, watch 6, lost, listed 7 by a peer, listed 8, watch 8",
		},
		{
			"registry outage", &script{list: []string{"5+"}, watch: []string{"", "", "7+"}}, RoleStandalone, 0,
			"listed 5, watch 5, lost, glance 5, lost, glance 5, changed 7, watch 7",
		},
		{
			"start during an outage", &script{list: []string{"", "5+"}}, RoleStandalone, 0, "lost, listed 5, watch 5",
		},
		{
			"start during an outage, peer has values", &script{list: []string{""}, peers: []string{"4+"}}, RoleStandalone, 0,
			"lost, listed 4 by a peer, glance 4",
		},
		{
			"relaying VM", &script{list: []string{"5+"}, watch: []string{"7+"}}, RoleRelaying, 0,
			"listed 5, watch 5, changed 7, watch 7",
		},
		{
			"following VM", &script{relay: []string{"5+", "5", "7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, changed 5, relay 5, changed 7, relay 7",
		},
		{
			"peer fails", &script{relay: []string{"5+", ""}, watch: []string{"7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, glance 5, changed 7, relay 7",
		},
		{
			"two peers fail", &script{relay: []string{"5+", "", ""}, watch: []string{"5", "7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, glance 5, changed 5, relay 5, watch 5, changed 7, watch 7",
		},
		{
			"peer is cut off from the registry", &script{relay: []string{"5+"}, list: []string{"9+"}},
			RoleFollowing, time.Minute, "relay 0, listed 9, relay 9",
		},
		{
			"peer is at an older revision", &script{relay: []string{"5+", "3"}, watch: []string{"9+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, glance 5, changed 9, relay 9",
		},
		{
			"peer and registry fail, peer recovers first", &script{relay: []string{"5+", "", "9+"}, watch: []string{""}},
			RoleFollowing, 0, "relay 0, listed 5, relay 5, glance 5, lost, relay 5, changed 9, relay 9",
		},
		{
			"watch answered after a restore, at a revision given out again",
			&script{list: []string{"5+", "1/6+"}, watch: []string{"1/6+"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 1/6, watch 6",
		},
		{
			"watch answered after a restore, without changes",
			&script{list: []string{"5+", "1/5+"}, watch: []string{"1/5"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 1/5, watch 5",
		},
		{
			"restored in an outage, at the same revision",
			&script{list: []string{"5+", "1/5+"}, watch: []string{"", "1/5"}}, RoleStandalone, 0,
			"listed 5, watch 5, lost, glance 5, listed 1/5, watch 5",
		},
		{
			"revision taken back by a restore", &script{list: []string{"5+", "1/3+"}, watch: []string{"410", "1/4+"}},
			RoleStandalone, 0, "listed 5, watch 5, listed 1/3, watch 3, changed 1/4, watch 4",
		},
		{
			"two restores in a row", &script{list: []string{"5+", "2/4+"}, watch: []string{"1/6+"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 2/4, watch 4",
		},
		{
			"watch answered from before the restore",
			&script{list: []string{"1/5+"}, watch: []string{"9+", "1/6+"}}, RoleStandalone, 0,
			"listed 1/5, watch 5, lost, glance 5, changed 1/6, watch 6",
		},
		{
			"listing from before the restore",
			&script{list: []string{"1/5+", "9+", "1/6+"}, watch: []string{"410"}}, RoleStandalone, 0,
			"listed 1/5, watch 5, lost, listed 1/6, watch 6",
		},
		{
			"peer knows of a restore", &script{relay: []string{"5+", "full 1/3+", "1/4+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, listed 1/3, relay 1/3, changed 1/4, relay 1/4",
		},
		{
			"peer does not know of the restore",
			&script{relay: []string{"full 1/5+", "9+"}, watch: []string{"1/6+"}}, RoleFollowing, 0,
			"relay 0, listed 1/5, relay 1/5, glance 5, changed 1/6, relay 1/6",
		},
		{
			"peer sends changes of a later era", &script{relay: []string{"5+", "1/7+"}, watch: []string{"1/6"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, glance 5, relay 1/0",
		},
		{
			"peer's listing after a restore", &script{list: []string{"5+"}, watch: []string{"", "1/4"}, peers: []string{"1/3+"}},
			RoleStandalone, 0, "listed 5, watch 5, lost, listed 1/3 by a peer, glance 3, changed 1/4, watch 4",
		},
		{
			"start after a restore, two peers know values",
			&script{list: []string{"1/3+"}, watch: []string{"1/4"}, offers: []unit.Position{{Revision: 9}, {Era: 1, Revision: 3}}},
			RoleStandalone, 0, "listed 1/3, offered, offered, watch 3, changed 1/4, watch 4",
		},
		{
			"following VM takes what its peer relays",
			&script{relay: []string{"1/3+"}, offers: []unit.Position{{Revision: 9}}}, RoleFollowing, 0,
			"relay 0, listed 1/3, relay 1/3",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := tt.script.follower(tt.role, tt.age).Service("follower")
			assert.NilError(t, service.Start(context.Background()))
			for end := time.Now().Add(10 * time.Second); count(tt.script.log()) < count(tt.want); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%s", tt.script.log())
			}
			assert.NilError(t, service.Close())
			assert.Equal(t, tt.script.log(), tt.want)
		})
	}
}

// TestWatchWait checks that a watch is short enough for a silent registry to be noticed and read again within the
// detection time.
func TestWatchWait(t *testing.T) {
	tests := []struct {
		name      string
		role      Role
		detection time.Duration
		want      time.Duration
	}{
		{"short detection time", RoleStandalone, 4 * time.Second, 3 * time.Second},
		{"long detection time", RoleStandalone, time.Minute, 4 * time.Second},
		{"no detection time", RoleStandalone, 0, time.Second},
		{"relaying VM", RoleRelaying, time.Minute, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := (&script{}).follower(tt.role, 0)
			f.DetectionTime = tt.detection
			assert.Equal(t, f.watchWait(), tt.want)
		})
	}
}

// count returns the number of commas, which separate the recorded lines.
func count(lines string) int {
	return strings.Count(lines, ",")
}

// TestEditionOfLastUpdate guards against a follower that is sent the same offered values again and again.
func TestEditionOfLastUpdate(t *testing.T) {
	var asked []Edition
	f := (&script{}).follower(RoleFollowing, 0)
	f.Relay = func(_ context.Context, _ Prefix, after Cursor, _ time.Duration) (Update, error) {
		asked = append(asked, after.Edition)
		return Update{Full: true, Edition: after.Edition + 7, ConfirmedAt: time.Now()}, nil
	}
	for range 3 {
		assert.NilError(t, f.takeUpdate(t.Context()))
	}
	assert.DeepEqual(t, asked, []Edition{0, 7, 14})
}
