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

// wireAsk asks for the values under a prefix if they are newer than a revision.
type wireAsk struct {
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
	// Packed says that Value is compressed.
	Packed   bool          `json:"packed,omitempty"`
	Revision unit.Revision `json:"revision"`
	Deleted  bool          `json:"deleted,omitempty"`
}

// wireFollow asks for what is newer than a revision, as soon as there is something and after a time at the latest.
type wireFollow struct {
	wireAsk
	// Wait is in milliseconds.
	Wait int64 `json:"wait"`
}

// wireNews is the result.
type wireNews struct {
	wireListing
	Whole bool `json:"whole,omitempty"`
	// Age is for how many milliseconds the answering VM has not heard from the registry, -1 if it never has.
	Age int64 `json:"age"`
}

// answerChanges tells a peer what this VM learns next of the registry.
func (f *Fleet) answerChanges(ctx context.Context, w wireFollow) (wireNews, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(f.leaving, cancel)()
	news := f.Changes(ctx, registry.Prefix(w.Prefix), w.After)
	if f.leaving.Err() != nil {
		return wireNews{}, peer.Refuse(errLeaving)
	}
	result := wireNews{wireListing: f.encodeListing(news.Listing), Whole: news.Full, Age: -1}
	if !news.ConfirmedAt.IsZero() {
		result.Age = f.Now().Sub(news.ConfirmedAt).Milliseconds()
	}
	return result, nil
}

// Relay waits for what a seed learns of the registry. Each VM follows a seed of its own choice and goes on to the next
// one when that does not answer.
func (f *Fleet) Relay(
	ctx context.Context, prefix registry.Prefix, after unit.Revision, wait time.Duration,
) (registry.Update, error) {
	seeds := f.seeds()
	if len(seeds) == 0 {
		return registry.Update{}, errNoNews
	}
	turn := f.turn.Load()
	seed := seeds[int(turn)%len(seeds)]
	var w wireNews
	ask := wireFollow{wireAsk: wireAsk{Prefix: string(prefix), After: after}, Wait: wait.Milliseconds()}
	if err := f.Call(ctx, seed, methodChanges, ask, &w); err != nil {
		f.turn.CompareAndSwap(turn, turn+1)
		return registry.Update{}, err
	}
	if w.Age < 0 {
		f.turn.CompareAndSwap(turn, turn+1)
		return registry.Update{}, errNoNews
	}
	heard := f.Now().Add(-time.Duration(w.Age) * time.Millisecond)
	listing, err := w.decode()
	return registry.Update{Listing: listing, Full: w.Whole, ConfirmedAt: heard}, err
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

// answerListing tells a peer what this VM knows of the registry.
func (f *Fleet) answerListing(_ context.Context, w wireAsk) (wireListing, error) {
	held := f.Held(registry.Prefix(w.Prefix))
	if held.Revision <= w.After {
		return wireListing{}, nil
	}
	return f.encodeListing(held), nil
}

func (f *Fleet) encodeListing(l registry.Listing) wireListing {
	w := wireListing{At: l.Revision}
	for _, i := range l.Items {
		item := wireItem{Key: string(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
		if len(i.Value) >= packFrom {
			item.Value, item.Packed = f.packs.pack(i), true
		}
		w.Items = append(w.Items, item)
	}
	return w
}

// Listing gives what a peer knows under the prefix, if it is newer than after. The seeds are asked in turn, from one
// that is drawn at random.
func (f *Fleet) Listing(
	ctx context.Context, prefix registry.Prefix, after unit.Revision,
) (registry.Listing, error) {
	seeds := f.seeds()
	first := int(f.Rand() * float64(len(seeds)))
	for i := range seeds {
		seed := seeds[(first+i)%len(seeds)]
		w, err := f.listingOf(ctx, seed, wireAsk{Prefix: string(prefix), After: after})
		if err != nil {
			f.Log.Debug("seed tells no values", "seed", seed, "prefix", prefix, "error", err)
			continue
		}
		if w.At > after {
			f.Log.Info("values taken from a peer", "peer", seed, "prefix", prefix, "revision", w.At, "before", after)
			return w.decode()
		}
	}
	return registry.Listing{}, errNoNews
}

func (f *Fleet) listingOf(ctx context.Context, seed unit.Address, ask wireAsk) (wireListing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var w wireListing
	err := f.Call(ctx, seed, methodListing, ask, &w)
	return w, err
}

func (w wireListing) decode() (registry.Listing, error) {
	all := registry.Listing{Revision: w.At}
	for _, i := range w.Items {
		item := registry.Item{Key: registry.Key(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
		if i.Packed {
			var err error
			if item.Value, err = unpack(i.Value); err != nil {
				return registry.Listing{}, errors.Wrapf(err, "unpack %s", i.Key)
			}
		}
		all.Items = append(all.Items, item)
	}
	return all, nil
}
