package registry

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestUndeliveredValuesAreReadAgain guards against a value that is skipped because the time for its read ended after it
// had come and before it was delivered: the position must not move past it.
func TestUndeliveredValuesAreReadAgain(t *testing.T) {
	value := Item{Position: unit.Position{Revision: 7}, Key: "k", Value: []byte("v")}
	listing := Listing{Position: unit.Position{Revision: 9}, Items: []Item{value}}
	tests := []struct {
		name string
		// known is the revision that the follower has caught up with before.
		known unit.Revision
		read  func(ctx context.Context, f *Follower)
	}{
		{"an update of a peer", 5, func(ctx context.Context, f *Follower) { _ = f.takeUpdate(ctx) }},
		{"a full update of a peer", 0, func(ctx context.Context, f *Follower) { _ = f.takeUpdate(ctx) }},
		{"a listing of a peer", 5, func(ctx context.Context, f *Follower) { f.takePeerListing(ctx) }},
		{"a listing", 0, func(ctx context.Context, f *Follower) { _ = f.readAll(ctx) }},
		{"changes", 5, func(ctx context.Context, f *Follower) { _ = f.readChanges(ctx, time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			// The value comes and then the time is over.
			came := func() (Listing, error) {
				cancel()
				return listing, nil
			}
			var delivered []Item
			f := &Follower{
				Prefix: "p",
				Now:    time.Now,
				Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
				List:   func(context.Context, Prefix) (Listing, error) { return came() },
				Watch: func(_ context.Context, _ Prefix, after unit.Revision, _ time.Duration) (Listing, error) {
					return since(after, listing), errorOf(came())
				},
				PeerListing: func(context.Context, Prefix, unit.Position) (Listing, error) { return came() },
				Relay: func(_ context.Context, _ Prefix, after Cursor, _ time.Duration) (Update, error) {
					u := Update{Listing: since(after.Revision, listing), Full: after.Revision == 0, ConfirmedAt: time.Now()}
					return u, errorOf(came())
				},
				Post: func(ctx context.Context, event any) error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					switch e := event.(type) {
					case Listed:
						delivered = append(delivered, e.Items...)
					case Changed:
						delivered = append(delivered, e.Items...)
					}
					return nil
				},
				position: unit.Position{Revision: tt.known},
			}
			tt.read(ctx, f)
			assert.Equal(t, len(delivered), 0)
			assert.Equal(t, f.position.Revision, tt.known)

			came = func() (Listing, error) { return listing, nil }
			tt.read(context.Background(), f)
			assert.DeepEqual(t, delivered, []Item{value})
			assert.Equal(t, f.position.Revision, listing.Revision)
		})
	}
}

// since returns a listing with only the items after a revision.
func since(after unit.Revision, l Listing) Listing {
	var items []Item
	for _, i := range l.Items {
		if i.Revision > after {
			items = append(items, i)
		}
	}
	l.Items = items
	return l
}

func errorOf(_ Listing, err error) error {
	return err
}
