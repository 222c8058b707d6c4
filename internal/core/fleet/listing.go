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

// wireListingQuery requests the values under a prefix if they are newer than a position. Older releases have no era, and
// don't set Packs, which says that the items may be packed.
type wireListingQuery struct {
	Prefix string        `json:"prefix"`
	After  unit.Revision `json:"after"`
	Era    unit.Era      `json:"era,omitempty"`
	Packs  bool          `json:"packs,omitempty"`
}

func newListingQuery(prefix registry.Prefix, after unit.Position) wireListingQuery {
	return wireListingQuery{Prefix: string(prefix), After: after.Revision, Era: after.Era, Packs: true}
}

func (w wireListingQuery) position() unit.Position {
	return unit.Position{Era: w.Era, Revision: w.After}
}

// wireListing is the response; Revision is 0 if there is nothing newer. Packed is the compressed JSON of the items, in place
// of Items.
type wireListing struct {
	Revision unit.Revision `json:"at"`
	Era      unit.Era      `json:"era,omitempty"`
	Items    []wireItem    `json:"items,omitempty"`
	Packed   []byte        `json:"packed,omitempty"`
}

func (w wireListing) position() unit.Position {
	return unit.Position{Era: w.Era, Revision: w.Revision}
}

// wireItem is one published value, or its deletion.
type wireItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Compressed reports whether Value is compressed with gzip.
	Compressed bool          `json:"packed,omitempty"`
	Revision   unit.Revision `json:"revision"`
	Deleted    bool          `json:"deleted,omitempty"`
}

// wireChangesQuery requests what is newer than a position. The response comes once there is something newer, or after
// Wait.
type wireChangesQuery struct {
	wireListingQuery
	// Edition is that of the last response. Older releases have none.
	Edition *registry.Edition `json:"edition,omitempty"`
	// Wait is the longest wait in milliseconds.
	Wait int64 `json:"wait"`
}

func (w wireChangesQuery) cursor() registry.Cursor {
	cursor := registry.Cursor{Position: w.position(), Edition: registry.EditionUnknown}
	if w.Edition != nil {
		cursor.Edition = *w.Edition
	}
	return cursor
}

// wireChanges is the response to wireChangesQuery.
type wireChanges struct {
	wireListing
	Full    bool             `json:"whole,omitempty"`
	Edition registry.Edition `json:"edition,omitempty"`
	// Age is the time in milliseconds since the registry last responded to the VM that sends this, -1 if it never
	// has.
	Age int64 `json:"age"`
}

// handleChanges waits for the next change that this VM learns of and returns it to a peer. It refuses the call once
// this VM is stopping.
func (f *Fleet) handleChanges(ctx context.Context, w wireChangesQuery) (wireChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(f.leaving, cancel)()
	changes := f.AwaitChanges(ctx, registry.Prefix(w.Prefix), w.cursor())
	if f.leaving.Err() != nil {
		return wireChanges{}, peer.RefusalError(errLeaving)
	}
	listing, err := f.encodeListing(changes.Listing, w.Packs)
	if err != nil {
		return wireChanges{}, err
	}
	result := wireChanges{wireListing: listing, Full: changes.Full, Edition: changes.Edition, Age: -1}
	if !changes.ConfirmedAt.IsZero() {
		result.Age = f.Now().Sub(changes.ConfirmedAt).Milliseconds()
	}
	return result, nil
}

// AwaitSeedChanges waits for the next changes that a seed learns of from the registry. Each VM follows one seed,
// which is selected at random at first, and fails over to the next one when the seed does not respond, has no data from
// the registry, or sends an update that does not follow on after.
func (f *Fleet) AwaitSeedChanges(
	ctx context.Context, prefix registry.Prefix, after registry.Cursor, wait time.Duration,
) (registry.Update, error) {
	seeds := f.seeds()
	if len(seeds) == 0 {
		return registry.Update{}, errNothingNewer
	}
	offset := f.seedOffset.Load()
	seed := seeds[int(offset)%len(seeds)]
	var w wireChanges
	query := wireChangesQuery{
		wireListingQuery: newListingQuery(prefix, after.Position), Edition: &after.Edition, Wait: wait.Milliseconds(),
	}
	if err := f.Call(ctx, seed, methodChanges, query, &w); err != nil {
		f.seedOffset.CompareAndSwap(offset, offset+1)
		return registry.Update{}, err
	}
	if w.Age < 0 {
		f.seedOffset.CompareAndSwap(offset, offset+1)
		return registry.Update{}, errNothingNewer
	}
	now := f.Now()
	listing, err := w.decode()
	update := registry.Update{
		Listing: listing, Full: w.Full, Edition: w.Edition,
		ConfirmedAt: now.Add(-time.Duration(w.Age) * time.Millisecond),
	}
	if err != nil || update.CheckFollows(now, after.Position) != nil {
		f.seedOffset.CompareAndSwap(offset, offset+1)
	}
	return update, err
}

// Role returns whether this VM reads the registry for itself, for others too, or relies on a seed. In a large
// deployment only the seeds read the registry. In a small one that would save few reads, and the loss of a seed would
// cost time.
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

// handleListing returns to a peer all that this VM knows under a prefix, or an empty listing with revision 0 if that is
// not newer than the peer's position.
func (f *Fleet) handleListing(_ context.Context, w wireListingQuery) (wireListing, error) {
	known := f.KnownValues(registry.Prefix(w.Prefix))
	if !known.After(w.position()) {
		return wireListing{}, nil
	}
	return f.encodeListing(known, w.Packs)
}

// encodeListing encodes a listing: packed if it is large and the peer accepts that, otherwise with each large value
// compressed.
func (f *Fleet) encodeListing(l registry.Listing, packs bool) (wireListing, error) {
	w := wireListing{Revision: l.Revision, Era: l.Era}
	if packs && valueBytes(l) >= compressMinBytes {
		var err error
		w.Packed, err = f.packed.pack(l)
		return w, err
	}
	for _, i := range l.Items {
		item := encodeItem(i)
		if len(i.Value) >= compressMinBytes {
			item.Value, item.Compressed = f.compressed.compress(i), true
		}
		w.Items = append(w.Items, item)
	}
	return w, nil
}

func encodeItem(i registry.Item) wireItem {
	return wireItem{Key: string(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
}

// valueBytes returns the size of a listing's values.
func valueBytes(l registry.Listing) int {
	n := 0
	for _, i := range l.Items {
		n += len(i.Value)
	}
	return n
}

// ListingFromSeed returns what a seed knows under the prefix if it is newer than after. It tries the seeds one by
// one, beginning with a random one.
func (f *Fleet) ListingFromSeed(
	ctx context.Context, prefix registry.Prefix, after unit.Position,
) (registry.Listing, error) {
	seeds := f.seeds()
	first := int(f.Rand() * float64(len(seeds)))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		w, err := f.fetchListing(ctx, seed, newListingQuery(prefix, after))
		if err != nil {
			f.Log.Debug("no values from seed", "seed", seed, "prefix", prefix, "error", err)
			continue
		}
		if w.position().After(after) {
			f.Log.Info("values taken from a peer", "peer", seed, "prefix", prefix, "era", w.Era, "revision", w.Revision,
				"era_before", after.Era, "before", after.Revision)
			return w.decode()
		}
	}
	return registry.Listing{}, errNothingNewer
}

// ListingsFromSeeds returns what each seed that answers knows under the prefix. It calls the seeds concurrently.
func (f *Fleet) ListingsFromSeeds(ctx context.Context, prefix registry.Prefix) []registry.Listing {
	seeds := f.seeds()
	responses := make(chan registry.Listing, len(seeds))
	for _, seed := range seeds {
		go func() {
			w, err := f.fetchListing(ctx, seed, newListingQuery(prefix, unit.Position{}))
			var listing registry.Listing
			if err == nil {
				listing, err = w.decode()
			}
			if err != nil {
				f.Log.Debug("no values from seed", "seed", seed, "prefix", prefix, "error", err)
			}
			responses <- listing
		}()
	}
	var all []registry.Listing
	for range seeds {
		if l := <-responses; l.Revision > 0 {
			all = append(all, l)
		}
	}
	return all
}

// fetchListing requests a listing from one seed.
func (f *Fleet) fetchListing(ctx context.Context, seed unit.Address, query wireListingQuery) (wireListing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var w wireListing
	err := f.Call(ctx, seed, methodListing, query, &w)
	return w, err
}

// decode returns the listing; items or a value that cannot be decompressed are an error.
func (w wireListing) decode() (registry.Listing, error) {
	all := registry.Listing{Position: w.position()}
	if w.Packed != nil {
		items, err := unpack(w.Packed)
		if err != nil {
			return registry.Listing{}, errors.Wrap(err, "unpack a listing")
		}
		w.Items = items
	}
	for _, i := range w.Items {
		item := registry.Item{
			Position: unit.Position{Era: w.Era, Revision: i.Revision},
			Key:      registry.Key(i.Key), Value: i.Value, Deleted: i.Deleted,
		}
		if i.Compressed {
			var err error
			if item.Value, err = decompress(i.Value, maxValueBytes); err != nil {
				return registry.Listing{}, errors.Wrapf(err, "decompress the value of %s", i.Key)
			}
		}
		all.Items = append(all.Items, item)
	}
	return all, nil
}
