package store

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	standin "basilspan/internal/standin/registry"
)

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
		{"a page that is just full", 3, 3},
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
		{"a change", 2, func(s *standin.Store) { s.Put("servers/1", "b") }, []string{"servers/1=b"}, nil},
		{"an end", 2, func(s *standin.Store) { s.Delete("servers/1") }, []string{"servers/1 deleted"}, nil},
		{"no change", 2, nil, nil, nil},
		{"a change elsewhere", 2, func(s *standin.Store) { s.Put("other", "b") }, nil, nil},
		{"changes that are past already", 1, nil, []string{"servers/1=a"}, nil},
		{"history that is lost", 1, func(s *standin.Store) { s.Compact() }, nil, registry.ErrCompacted},
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

// TestListFaults checks that each way of not answering is an error and not an empty registry, in bounded time.
func TestListFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
	}{
		{"busy", standin.FaultBusy},
		{"too many reads", standin.FaultLimit},
		{"silent", standin.FaultSilent},
		{"reset", standin.FaultReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newClient(t)
			s.Break(tt.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, err := c.List(ctx, PrefixEndpoints)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the client waits for as long as its caller does")
		})
	}
}
