package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
)

// TestHandleChanges checks that a follower's call waits for a change while the VM runs, and is refused when the VM
// stops, so that the follower can fail over.
func TestHandleChanges(t *testing.T) {
	tests := []struct {
		name string
		// before and meanwhile are whether the VM stops before the follower's call or during it.
		before, meanwhile bool
		wait              time.Duration
		refused           bool
	}{
		{"nothing changes", false, false, 20 * time.Millisecond, false},
		{"the VM stops during the call", false, true, time.Minute, true},
		{"the VM is stopping already", true, false, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			waiting := make(chan struct{})
			f := &Fleet{
				Self: divide.Candidate{Centre: "z"},
				Now:  time.Now,
				Rand: func() float64 { return 0 },
				AwaitChanges: func(ctx context.Context, _ registry.Prefix, _ registry.Cursor) registry.Update {
					close(waiting)
					<-ctx.Done()
					return registry.Update{ConfirmedAt: time.Now()}
				},
			}
			f.SetSeeds(nil)
			f.Install(kernel.NewLoop(time.Now), peer.New("127.0.0.1:0"))
			if tt.before {
				f.Leave(t.Context())
			}
			if tt.meanwhile {
				go func() {
					<-waiting
					f.Leave(t.Context())
				}()
			}
			_, err := f.handleChanges(t.Context(), wireChangesQuery{Wait: tt.wait.Milliseconds()})
			assert.Equal(t, err != nil, tt.refused)
		})
	}
}

// TestPeersAcrossRestore guards against taking a seed's values from before a restore for newer ones.
func TestPeersAcrossRestore(t *testing.T) {
	tests := []struct {
		name        string
		seed, after unit.Position
		oldSeed     bool
		want        unit.Position
	}{
		{"seed ahead", unit.Position{Revision: 7}, unit.Position{Revision: 5}, false, unit.Position{Revision: 7}},
		{"seed behind", unit.Position{Revision: 5}, unit.Position{Revision: 7}, false, unit.Position{}},
		{
			"seed knows of a restore",
			unit.Position{Era: 1, Revision: 3},
			unit.Position{Revision: 7},
			false,
			unit.Position{Era: 1, Revision: 3},
		},
		{
			"seed does not know of the restore",
			unit.Position{Revision: 9},
			unit.Position{Era: 1, Revision: 3},
			false,
			unit.Position{},
		},
		{
			"seed ahead in the same era",
			unit.Position{Era: 1, Revision: 4},
			unit.Position{Era: 1, Revision: 3},
			false,
			unit.Position{Era: 1, Revision: 4},
		},
		{"old seed", unit.Position{Revision: 9}, unit.Position{Revision: 3}, true, unit.Position{Revision: 9}},
		{"old seed after a restore", unit.Position{Era: 1, Revision: 9}, unit.Position{Era: 1, Revision: 3}, true, unit.Position{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			known := registry.Listing{Position: tt.seed, Items: []registry.Item{{Position: tt.seed, Key: "p/1"}}}
			seed := &Fleet{
				Now:         time.Now,
				KnownValues: func(registry.Prefix) registry.Listing { return known },
				AwaitChanges: func(_ context.Context, _ registry.Prefix, after registry.Cursor) registry.Update {
					assert.Equal(t, after.Position, tt.after)
					return registry.Update{Listing: known, ConfirmedAt: time.Now()}
				},
			}
			seed.leaving, seed.leave = context.WithCancel(t.Context())
			f := &Fleet{
				Now: time.Now, Rand: func() float64 { return 0 }, Log: slog.New(slog.DiscardHandler),
				Call: func(ctx context.Context, _ unit.Address, method peer.Method, params, result any) error {
					return callDirectly(ctx, seed, method, params, result, tt.oldSeed)
				},
			}
			f.SetSeeds([]unit.Address{"seed"})
			listing, err := f.ListingFromSeed(t.Context(), "p/", tt.after)
			assert.Equal(t, err == nil, tt.want.Revision > 0, "%v", err)
			assert.Equal(t, listing.Position, tt.want)
			for _, i := range listing.Items {
				assert.Equal(t, i.Position, tt.want)
			}
			if tt.oldSeed {
				return
			}
			update, err := f.AwaitSeedChanges(t.Context(), "p/", registry.Cursor{Position: tt.after}, time.Second)
			assert.NilError(t, err)
			assert.DeepEqual(t, update.Listing, known)
		})
	}
}

// TestListingsFromSeeds checks that all seeds are asked, and that one that does not answer or knows nothing is left out.
func TestListingsFromSeeds(t *testing.T) {
	tests := []struct {
		name string
		// known is the revision that each seed has caught up with, 0 if it knows nothing and -1 if it does not answer.
		known []int
		want  []unit.Revision
	}{
		{"no seeds", nil, nil},
		{"one", []int{7}, []unit.Revision{7}},
		{"two", []int{7, 9}, []unit.Revision{7, 9}},
		{"one knows nothing", []int{0, 9}, []unit.Revision{9}},
		{"one does not answer", []int{-1, 9}, []unit.Revision{9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &Fleet{
				Log: slog.New(slog.DiscardHandler),
				Call: func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error {
					n, err := strconv.Atoi(string(to))
					if err != nil || tt.known[n] < 0 {
						return errors.New("no answer")
					}
					known := registry.Listing{Position: unit.Position{Revision: unit.Revision(tt.known[n])}}
					seed := &Fleet{KnownValues: func(registry.Prefix) registry.Listing { return known }}
					return callDirectly(ctx, seed, method, params, result, false)
				},
			}
			var seeds []unit.Address
			for n := range tt.known {
				seeds = append(seeds, unit.Address(strconv.Itoa(n)))
			}
			f.SetSeeds(seeds)
			var got []unit.Revision
			for _, l := range f.ListingsFromSeeds(t.Context(), "p/") {
				got = append(got, l.Revision)
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// callDirectly calls a method of a VM with messages in their encoded form. An old VM neither reads nor sends eras.
func callDirectly(ctx context.Context, to *Fleet, method peer.Method, params, result any, old bool) error {
	reencode := func(from, into any) error {
		text, err := json.Marshal(from)
		if err != nil {
			return err
		}
		if old {
			text = regexp.MustCompile(`,"era":\d+`).ReplaceAll(text, nil)
		}
		return json.Unmarshal(text, into)
	}
	switch method {
	case methodListing:
		var query wireListingQuery
		if err := reencode(params, &query); err != nil {
			return err
		}
		response, err := to.handleListing(ctx, query)
		if err != nil {
			return err
		}
		return reencode(response, result)
	case methodChanges:
		var query wireChangesQuery
		if err := reencode(params, &query); err != nil {
			return err
		}
		response, err := to.handleChanges(ctx, query)
		if err != nil {
			return err
		}
		return reencode(response, result)
	default:
		return errors.Newf("unknown method %q", method)
	}
}

// TestCallSeeds checks that a seed that does not respond does not delay the calls of the others.
func TestCallSeeds(t *testing.T) {
	tests := []struct {
		name  string
		lost  []unit.Address
		want  int
		calls int
	}{
		{"all respond", nil, 3, 3},
		{"one does not respond", []unit.Address{"a"}, 2, 3},
		{"none responds", []unit.Address{"a", "b", "c"}, 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// Each call waits until all have begun, which never happens if they run one after the other.
			var begun sync.WaitGroup
			begun.Add(tt.calls)
			f := &Fleet{
				Log: slog.New(slog.DiscardHandler),
				Call: func(ctx context.Context, to unit.Address, _ peer.Method, _, _ any) error {
					begun.Done()
					begun.Wait()
					if slices.Contains(tt.lost, to) {
						<-ctx.Done()
						return ctx.Err()
					}
					return nil
				},
			}
			f.leaving, f.leave = context.WithCancel(t.Context())
			f.SetSeeds([]unit.Address{"a", "b", "c"})
			assert.Equal(t, len(f.callSeeds(t.Context())), tt.want)
		})
	}
}

// TestEditionIsRelayed guards against a follower of an older release that is taken for one at edition 0.
func TestEditionIsRelayed(t *testing.T) {
	const sent, relayed registry.Edition = 0, 7
	tests := []struct {
		name string
		omit string
		want registry.Edition
	}{
		{"same release", "", sent},
		{"older release", `"edition":0,`, registry.EditionUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seed := &Fleet{
				Now: time.Now,
				AwaitChanges: func(_ context.Context, _ registry.Prefix, after registry.Cursor) registry.Update {
					assert.Equal(t, after.Edition, tt.want)
					return registry.Update{Edition: relayed, ConfirmedAt: time.Now()}
				},
			}
			seed.leaving, seed.leave = context.WithCancel(t.Context())
			f := &Fleet{
				Now: time.Now,
				Call: func(ctx context.Context, _ unit.Address, method peer.Method, params, result any) error {
					text, err := json.Marshal(params)
					assert.NilError(t, err)
					assert.Assert(t, strings.Contains(string(text), tt.omit))
					text = []byte(strings.Replace(string(text), tt.omit, "", 1))
					return callDirectly(ctx, seed, method, json.RawMessage(text), result, false)
				},
			}
			f.SetSeeds([]unit.Address{"seed"})
			update, err := f.AwaitSeedChanges(t.Context(), "p/", registry.Cursor{Edition: sent}, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, update.Edition, relayed)
		})
	}
}
