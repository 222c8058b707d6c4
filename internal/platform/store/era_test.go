package store

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// TestReadsGoOnWithoutEra guards against a VM that is blind, or goes back, once responses lack the era.
func TestReadsGoOnWithoutEra(t *testing.T) {
	tests := []struct {
		name string
		// header is what the responses have after the first one, at revision.
		header   string
		revision int
		// compacted is whether each watch gets 410.
		compacted bool
		want      bool
	}{
		{"header omitted", "", 9, false, true},
		{"header omitted, history compacted", "", 9, true, true},
		{"header omitted, earlier revision", "", 3, false, false},
		{"header omitted, earlier revision, history compacted", "", 3, true, false},
		{"earlier era", "0", 9, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reads atomic.Int64
			c := newScriptedStore(t, func(w http.ResponseWriter, r *http.Request) {
				header, revision := "1", 5
				if reads.Add(1) > 1 {
					header, revision = tt.header, tt.revision
				}
				if header != "" {
					w.Header().Set(headerEra, header)
				}
				if r.URL.Path == pathWatch {
					time.Sleep(10 * time.Millisecond)
					if tt.compacted {
						w.WriteHeader(http.StatusGone)
						return
					}
				}
				const item = `{"key":"servers/a","value":"YQ==","revision":%[1]d}`
				_, _ = fmt.Fprintf(w, `{"items":[`+item+`],"events":[`+item+`],"at":%[1]d}`, revision)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var latest unit.Position
			taken := func(p unit.Position, items []registry.Item) {
				assert.Assert(t, !latest.After(p), "%v after %v", p, latest)
				latest = p
				for _, i := range items {
					assert.Equal(t, i.Era, p.Era)
				}
				if p.Revision == 9 {
					cancel()
				}
			}
			start := time.Now()
			f := &registry.Follower{
				Prefix: PrefixEndpoints, List: c.List, Watch: c.Watch, Log: slog.New(slog.DiscardHandler),
				// The clock is fast, so that the test need not wait.
				Now:  func() time.Time { return start.Add(20 * time.Since(start)) },
				Rand: func() float64 { return 0 },
				Role: func() registry.Role { return registry.RoleStandalone },
				PeerListing: func(context.Context, registry.Prefix, unit.Position) (registry.Listing, error) {
					return registry.Listing{}, errors.New("no peers")
				},
				Post: func(_ context.Context, event any) error {
					switch e := event.(type) {
					case registry.Listed:
						taken(e.Position, e.Items)
					case registry.Changed:
						taken(e.Position, e.Items)
					}
					return nil
				},
			}
			service := f.Service("follower")
			assert.NilError(t, service.Start(ctx))
			<-ctx.Done()
			assert.NilError(t, service.Close())
			assert.Equal(t, latest == unit.Position{Era: 1, Revision: 9}, tt.want, "%v", latest)
		})
	}
}

// TestPagesWithAndWithoutEra guards against a listing that begins again without a pause while some pages have no era.
func TestPagesWithAndWithoutEra(t *testing.T) {
	tests := []struct {
		name string
		// without is the remainder by two of the number of a read without an era.
		without int64
	}{
		{"first page", 1},
		{"second page", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reads atomic.Int64
			c := newScriptedStore(t, func(w http.ResponseWriter, _ *http.Request) {
				n := reads.Add(1)
				if n%2 != tt.without {
					w.Header().Set(headerEra, "1")
				}
				key := strconv.Quote("servers/" + strconv.FormatInt(n, 10))
				_, _ = fmt.Fprintf(w, `{"items":[{"key":%s,"value":"YQ==","revision":5}],"truncated":true,"at":5}`, key)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := c.List(ctx, PrefixEndpoints)
			assert.Assert(t, err != nil)
			assert.Equal(t, reads.Load(), int64(2))
		})
	}
}
