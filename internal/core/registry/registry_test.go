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

// script plays a registry and its peers: the answers of each call in turn, "" for an error, "410" for lost history, "7"
// for an answer at revision 7 without changes and "7+" for one with a change. After the last answer a call waits for
// the end of the test.
type script struct {
	list, watch, relay, peers []string

	mu    sync.Mutex
	lines []string
}

// next gives the next answer of a list of them.
func (s *script) next(ctx context.Context, answers *[]string) (Listing, error) {
	s.mu.Lock()
	if len(*answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Listing{}, ctx.Err()
	}
	text := (*answers)[0]
	*answers = (*answers)[1:]
	s.mu.Unlock()
	switch text {
	case "":
		return Listing{}, errDown
	case "410":
		return Listing{}, ErrCompacted
	}
	var l Listing
	if _, err := fmt.Sscanf(text, "%d", &l.Revision); err != nil {
		return Listing{}, err
	}
	if strings.HasSuffix(text, "+") {
		l.Items = []Item{{Key: "p/1", Revision: l.Revision}}
	}
	return l, nil
}

func (s *script) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func (s *script) seen() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, ", ")
}

// follower makes a follower of the script whose peers have heard from the registry age ago.
func (s *script) follower(role Role, age time.Duration) *Follower {
	return &Follower{
		Prefix: "p/",
		Now:    time.Now,
		List: func(ctx context.Context, _ Prefix) (Listing, error) {
			return s.next(ctx, &s.list)
		},
		Watch: func(ctx context.Context, _ Prefix, after unit.Revision, _ time.Duration) (Listing, error) {
			s.note("watch %d", after)
			return s.next(ctx, &s.watch)
		},
		PeerListing: func(ctx context.Context, _ Prefix, _ unit.Revision) (Listing, error) {
			if len(s.peers) == 0 {
				return Listing{}, errDown
			}
			return s.next(ctx, &s.peers)
		},
		Relay: func(ctx context.Context, _ Prefix, after unit.Revision, _ time.Duration) (Update, error) {
			s.note("relay %d", after)
			l, err := s.next(ctx, &s.relay)
			return Update{Listing: l, Full: after == 0, ConfirmedAt: time.Now().Add(-age)}, err
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
		s.note("listed %d%s", e.Revision, by)
	case Changed:
		s.note("changed %d", e.Revision)
	case ReadFailed:
		s.note("lost")
	}
}

func TestFollower(t *testing.T) {
	tests := []struct {
		name   string
		script *script
		role   Role
		age    time.Duration
		want   string
	}{
		{
			"all values and then changes", &script{list: []string{"5+"}, watch: []string{"5", "7+"}}, RoleStandalone, 0,
			"listed 5, watch 5, changed 5, watch 5, changed 7, watch 7",
		},
		{
			"lost history", &script{list: []string{"5+", "9+"}, watch: []string{"410"}}, RoleStandalone, 0,
			"listed 5, watch 5, listed 9, watch 9",
		},
		{
			"an outage", &script{list: []string{"5+"}, watch: []string{"", "", "7+"}}, RoleStandalone, 0,
			"listed 5, watch 5, lost, watch 5, lost, watch 5, changed 7, watch 7",
		},
		{
			"a start in an outage", &script{list: []string{"", "5+"}}, RoleStandalone, 0, "lost, listed 5, watch 5",
		},
		{
			"a start in an outage, with a peer that knows", &script{list: []string{""}, peers: []string{"4+"}}, RoleStandalone, 0,
			"lost, listed 4 by a peer, watch 4",
		},
		{
			"a VM that others follow", &script{list: []string{"5+"}, watch: []string{"7+"}}, RoleRelaying, 0,
			"listed 5, watch 5, changed 7, watch 7",
		},
		{
			"a VM that follows", &script{relay: []string{"5+", "5", "7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, changed 5, relay 5, changed 7, relay 7",
		},
		{
			"a peer that is lost", &script{relay: []string{"5+", ""}, watch: []string{"7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, watch 5, changed 7, relay 7",
		},
		{
			"two peers that are lost", &script{relay: []string{"5+", "", ""}, watch: []string{"5", "7+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, watch 5, changed 5, relay 5, watch 5, changed 7, watch 7",
		},
		{
			"a peer that is cut off itself", &script{relay: []string{"5+"}, list: []string{"9+"}}, RoleFollowing, time.Minute,
			"relay 0, listed 9, relay 9",
		},
		{
			"a peer that is behind", &script{relay: []string{"5+", "3"}, watch: []string{"9+"}}, RoleFollowing, 0,
			"relay 0, listed 5, relay 5, watch 5, changed 9, relay 9",
		},
		{
			"peer and registry are lost, and the peer is back first", &script{relay: []string{"5+", "", "9+"}, watch: []string{""}},
			RoleFollowing, 0, "relay 0, listed 5, relay 5, watch 5, lost, relay 5, changed 9, relay 9",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := tt.script.follower(tt.role, tt.age).Service("follower")
			assert.NilError(t, service.Start(context.Background()))
			for end := time.Now().Add(10 * time.Second); count(tt.script.seen()) < count(tt.want); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%s", tt.script.seen())
			}
			assert.NilError(t, service.Close())
			assert.Equal(t, tt.script.seen(), tt.want)
		})
	}
}

// TestWatchTime checks that a registry that has gone silent is noticed, and read again, in time.
func TestWatchTime(t *testing.T) {
	tests := []struct {
		name   string
		role   Role
		notice time.Duration
		want   time.Duration
	}{
		{"a short time", RoleStandalone, 4 * time.Second, 3 * time.Second},
		{"a long time", RoleStandalone, time.Minute, 4 * time.Second},
		{"no time", RoleStandalone, 0, time.Second},
		{"a VM that others follow", RoleRelaying, time.Minute, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := (&script{}).follower(tt.role, 0)
			f.DetectionTime = tt.notice
			assert.Equal(t, f.watchTime(), tt.want)
		})
	}
}

func count(lines string) int {
	return strings.Count(lines, ",")
}
