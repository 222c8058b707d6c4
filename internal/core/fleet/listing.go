package fleet

import (
	"context"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
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
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision unit.Revision `json:"revision"`
}

// answerListing tells a peer what this VM knows of the registry.
func (f *Fleet) answerListing(_ context.Context, w wireAsk) (wireListing, error) {
	held := f.Held(registry.Prefix(w.Prefix))
	if held.At <= w.After {
		return wireListing{}, nil
	}
	all := wireListing{At: held.At}
	for _, i := range held.Items {
		all.Items = append(all.Items, wireItem{Key: string(i.Key), Value: i.Value, Revision: i.Revision})
	}
	return all, nil
}

// Listing gives what a peer knows under the prefix, if it is newer than after. The seeds are asked in turn, from one
// that is drawn at random.
func (f *Fleet) Listing(
	ctx context.Context, prefix registry.Prefix, after unit.Revision,
) (registry.Listing, error) {
	first := int(f.Rand() * float64(len(f.Seeds)))
	for i := range f.Seeds {
		seed := f.Seeds[(first+i)%len(f.Seeds)]
		w, err := f.listingOf(ctx, seed, wireAsk{Prefix: string(prefix), After: after})
		if err != nil {
			f.Log.Debug("seed tells no values", "seed", seed, "prefix", prefix, "error", err)
			continue
		}
		if w.At > after {
			f.Log.Info("values taken from a peer", "peer", seed, "prefix", prefix, "revision", w.At, "before", after)
			return w.decode(), nil
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

func (w wireListing) decode() registry.Listing {
	all := registry.Listing{At: w.At}
	for _, i := range w.Items {
		all.Items = append(all.Items, registry.Item{Key: registry.Key(i.Key), Value: i.Value, Revision: i.Revision})
	}
	return all
}
