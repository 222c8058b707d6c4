package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	standin "basilspan/internal/standin/registry"
)

// newClient returns a client and the store that it reads.
func newClient(t *testing.T) (*Client, *standin.Store) {
	t.Helper()
	s := standin.New()
	c := New(unit.Address(s.Address()))
	t.Cleanup(func() {
		assert.NilError(t, c.Close())
		s.Close()
	})
	return c, s
}

func TestList(t *testing.T) {
	tests := []struct {
		name  string
		items int
		page  int
	}{
		{"nothing", 0, 500},
		{"one page", 3, 500},
		{"a page that is exactly full", 3, 3},
		{"several pages", 7, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newClient(t)
			s.PageSize = tt.page
			s.Put("other/1", "x")
			for i := range tt.items {
				s.Put(fmt.Sprint("servers/", i), fmt.Sprint("v", i))
			}
			got, err := c.List(context.Background(), PrefixEndpoints)
			assert.NilError(t, err)
			assert.Equal(t, got.Revision, unit.Revision(2+tt.items))
			assert.Equal(t, len(got.Items), tt.items)
			for i, item := range got.Items {
				assert.Equal(t, item.Key, registry.Key(fmt.Sprint("servers/", i)))
				assert.Equal(t, string(item.Value), fmt.Sprint("v", i))
			}
		})
	}
}

func TestWatch(t *testing.T) {
	tests := []struct {
		name  string
		after unit.Revision
		do    func(s *standin.Store)
		want  []string
		err   error
	}{
		{"changed key", 2, func(s *standin.Store) { s.Put("servers/1", "b") }, []string{"servers/1=b"}, nil},
		{"deleted key", 2, func(s *standin.Store) { s.Delete("servers/1") }, []string{"servers/1 deleted"}, nil},
		{"no change", 2, nil, nil, nil},
		{"change outside the prefix", 2, func(s *standin.Store) { s.Put("other", "b") }, nil, nil},
		{"change before the watch started", 1, nil, []string{"servers/1=a"}, nil},
		{"compacted history", 1, func(s *standin.Store) { s.Compact() }, nil, registry.ErrCompacted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newClient(t)
			s.Put("servers/1", "a")
			if tt.do != nil {
				tt.do(s)
			}
			got, err := c.Watch(context.Background(), PrefixEndpoints, tt.after, 50*time.Millisecond)
			assert.ErrorIs(t, err, tt.err)
			var lines []string
			for _, i := range got.Items {
				line := string(i.Key) + "=" + string(i.Value)
				if i.Deleted {
					line = string(i.Key) + " deleted"
				}
				lines = append(lines, line)
			}
			assert.DeepEqual(t, lines, tt.want)
		})
	}
}

// TestEra checks that reads return the era of their response, and fail if it cannot be read.
func TestEra(t *testing.T) {
	copied := func(s *standin.Store) { s.Restore(s.Copy()) }
	tests := []struct {
		name   string
		header string
		do     func(s *standin.Store)
		want   unit.Era
		fault  bool
	}{
		{"no header", "", nil, 0, false},
		{"never restored", "0", nil, 0, false},
		{"restored", "", copied, 1, false},
		{"not a number", "one", nil, 0, true},
		{"negative", "-1", nil, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newClient(t)
			s.Put("servers/1", "a")
			if tt.do != nil {
				tt.do(s)
			} else {
				s.EraHeader = &tt.header
			}
			listing, err := c.List(t.Context(), PrefixEndpoints)
			assert.Equal(t, err != nil, tt.fault, "%v", err)
			assert.Equal(t, listing.Era, tt.want)
			changes, err := c.Watch(t.Context(), PrefixEndpoints, 1, 50*time.Millisecond)
			assert.Equal(t, err != nil, tt.fault, "%v", err)
			assert.Equal(t, changes.Era, tt.want)
			for _, i := range slices.Concat(listing.Items, changes.Items) {
				assert.Equal(t, i.Era, tt.want)
			}
		})
	}
}

// TestListDuringRestore checks that no listing mixes pages from before and after a restore.
func TestListDuringRestore(t *testing.T) {
	c, s := newClient(t)
	s.PageSize = 2
	s.Put("servers/1", "old")
	s.Put("servers/3", "old")
	restored := s.Copy()
	s.Put("servers/2", "lost")
	s.Put("servers/4", "lost")
	restore := sync.OnceFunc(func() { s.Restore(restored) })
	s.AfterPage = restore
	got, err := c.List(t.Context(), PrefixEndpoints)
	assert.NilError(t, err)
	assert.Equal(t, got.Position, unit.Position{Era: 1, Revision: 3})
	var values []string
	for _, i := range got.Items {
		values = append(values, string(i.Key)+"="+string(i.Value))
	}
	assert.DeepEqual(t, values, []string{"servers/1=old", "servers/3=old"})
}

// TestListFaults checks that each kind of failure of the store is returned as an error within a bounded time, and not
// as an empty listing.
func TestListFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
	}{
		{"busy", standin.Fault503},
		{"too many reads", standin.Fault429},
		{"silent", standin.FaultNoResponse},
		{"reset", standin.FaultReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newClient(t)
			s.SetFault(tt.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, err := c.List(ctx, PrefixEndpoints)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the client did not time out on its own")
		})
	}
}
