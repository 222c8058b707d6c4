package route

import (
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/rank"
)

// index finds the endpoints and ranks of one configuration.
type index struct {
	catalog   *catalog.Catalog
	endpoints map[unit.EndpointID]catalog.Endpoint
	ranks     map[unit.RankName]rank.Rank
}

// currentIndex gives the index of the view's configuration; it is made anew when that has changed.
func (r *Router) currentIndex(v *view.View) *index {
	if cached := r.index.Load(); cached != nil && cached.catalog == v.Catalog {
		return cached
	}
	built := &index{catalog: v.Catalog, endpoints: make(map[unit.EndpointID]catalog.Endpoint)}
	if v.Catalog != nil {
		built.ranks = rank.FromCatalog(v.Catalog)
		for _, s := range v.Catalog.Searches {
			for _, e := range s.Endpoints {
				built.endpoints[e.ID] = e
			}
		}
	}
	r.index.Store(built)
	return built
}

// lookUpEndpoint gives the endpoint of a call as the present view has it. One that is no longer configured has one slot.
func (r *Router) lookUpEndpoint(call endpoint.Call) (catalog.Endpoint, *view.View) {
	v := r.Views.Load()
	if e, ok := r.currentIndex(v).endpoints[call.Attempt.Endpoint]; ok {
		return e, v
	}
	return catalog.Endpoint{ID: call.Attempt.Endpoint, Shard: call.Attempt.Shard, Slots: 1, Address: call.Address}, v
}

func (r *Router) ranks(v *view.View) map[unit.RankName]rank.Rank {
	return r.currentIndex(v).ranks
}
