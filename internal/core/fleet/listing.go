package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
)

// wireListingQuery asks for the values under a prefix if they are newer than a revision.
type wireListingQuery struct {
	Prefix string        `json:"prefix"`
	After  unit.Revision `json:"after"`
}

// wireListing is the result; At is 0 when there is nothing newer.
type wireListing struct {
	At    unit.Revision `json:"at"`
	Items []wireItem    `json:"items,omitempty"`
}

type wireItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Compressed says that Value is compressed.
	Compressed bool          `json:"packed,omitempty"`
	Revision   unit.Revision `json:"revision"`
	Deleted    bool          `json:"deleted,omitempty"`
}

// wireChangesQuery asks for what is newer than a revision, as soon as there is something and after a time at the latest.
type wireChangesQuery struct {
	wireListingQuery
	// Wait is in milliseconds.
	Wait int64 `json:"wait"`
}

// wireChanges is the result.
type wireChanges struct {
	wireListing
	Whole bool `json:"whole,omitempty"`
	// Age is for how many milliseconds the answering VM has not heard from the registry, -1 if it never has.
	Age int64 `json:"age"`
}

// handleChanges tells a peer what this VM learns next of the registry.
func (f *Fleet) handleChanges(ctx context.Context, w wireChangesQuery) (wireChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(f.leaving, cancel)()
	news := f.AwaitChanges(ctx, registry.Prefix(w.Prefix), w.After)
	if f.leaving.Err() != nil {
		return wireChanges{}, peer.Refuse(errLeaving)
	}
	result := wireChanges{wireListing: f.encodeListing(news.Listing), Whole: news.Full, Age: -1}
	if !news.ConfirmedAt.IsZero() {
		result.Age = f.Now().Sub(news.ConfirmedAt).Milliseconds()
	}
	return result, nil
}

// AwaitSeedChanges waits for what a seed learns of the registry. Each VM follows a seed of its own choice and goes on to the next
// one when that does not answer.
func (f *Fleet) AwaitSeedChanges(
	ctx context.Context, prefix registry.Prefix, after unit.Revision, wait time.Duration,
) (registry.Update, error) {
	seeds := f.seeds()
	if len(seeds) == 0 {
		return registry.Update{}, errNothingNewer
	}
	offset := f.seedOffset.Load()
	seed := seeds[int(offset)%len(seeds)]
	var w wireChanges
	query := wireChangesQuery{wireListingQuery: wireListingQuery{Prefix: string(prefix), After: after}, Wait: wait.Milliseconds()}
	if err := f.Call(ctx, seed, methodChanges, query, &w); err != nil {
		f.seedOffset.CompareAndSwap(offset, offset+1)
		return registry.Update{}, err
	}
	if w.Age < 0 {
		f.seedOffset.CompareAndSwap(offset, offset+1)
		return registry.Update{}, errNothingNewer
	}
	answered := f.Now().Add(-time.Duration(w.Age) * time.Millisecond)
	listing, err := w.decode()
	return registry.Update{Listing: listing, Full: w.Whole, ConfirmedAt: answered}, err
}

// Role says who reads the registry. In a large deployment the seeds do for all; in a small one few reads would be saved,
// and a lost seed would cost time.
func (f *Fleet) Role() registry.Role {
	switch {
	case !f.large.Load():
		return registry.RoleStandalone
	case slices.Contains(f.seeds(), f.Self.Address):
		return registry.RoleRelaying
	default:
		return registry.RoleFollowing
	}
}

// handleListing tells a peer what this VM knows of the registry.
func (f *Fleet) handleListing(_ context.Context, w wireListingQuery) (wireListing, error) {
	known := f.KnownValues(registry.Prefix(w.Prefix))
	if known.Revision <= w.After {
		return wireListing{}, nil
	}
	return f.encodeListing(known), nil
}

func (f *Fleet) encodeListing(l registry.Listing) wireListing {
	w := wireListing{At: l.Revision}
	for _, i := range l.Items {
		item := wireItem{Key: string(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
		if len(i.Value) >= compressMinBytes {
			item.Value, item.Compressed = f.compressed.compress(i), true
		}
		w.Items = append(w.Items, item)
	}
	return w
}

// ListingFromSeed gives what a peer knows under the prefix, if it is newer than after. The seeds are asked in turn, from one
// that is drawn at random.
func (f *Fleet) ListingFromSeed(
	ctx context.Context, prefix registry.Prefix, after unit.Revision,
) (registry.Listing, error) {
	seeds := f.seeds()
	first := int(f.Rand() * float64(len(seeds)))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		w, err := f.fetchListing(ctx, seed, wireListingQuery{Prefix: string(prefix), After: after})
		if err != nil {
			f.Log.Debug("seed tells no values", "seed", seed, "prefix", prefix, "error", err)
			continue
		}
		if w.At > after {
			f.Log.Info("values taken from a peer", "peer", seed, "prefix", prefix, "revision", w.At, "before", after)
			return w.decode()
		}
	}
	return registry.Listing{}, errNothingNewer
}

func (f *Fleet) fetchListing(ctx context.Context, seed unit.Address, query wireListingQuery) (wireListing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var w wireListing
	err := f.Call(ctx, seed, methodListing, query, &w)
	return w, err
}

func (w wireListing) decode() (registry.Listing, error) {
	all := registry.Listing{Revision: w.At}
	for _, i := range w.Items {
		item := registry.Item{Key: registry.Key(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
		if i.Compressed {
			var err error
			if item.Value, err = decompress(i.Value); err != nil {
				return registry.Listing{}, errors.Wrapf(err, "unpack %s", i.Key)
			}
		}
		all.Items = append(all.Items, item)
	}
	return all, nil
}
