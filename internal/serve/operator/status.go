package operator

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/policy/catalog"
)

type (
	// wireStatus is the JSON body of the response to GET /status. Ages are in milliseconds, or -1 if unknown.
	wireStatus struct {
		Node     string `json:"node"`
		State    string `json:"state"`
		Revision uint64 `json:"revision"`
		// RevisionAge is how long the revision has been in force on this VM.
		RevisionAge int64 `json:"held"`
		// ViewAge is the time since the current view of the control state was made.
		ViewAge int64 `json:"age"`
		// RefusedRevision is the highest revision that was refused, and Problem the reason.
		RefusedRevision uint64         `json:"refused"`
		Problem         string         `json:"problem"`
		Members         []wireMember   `json:"members"`
		Leaving         []string       `json:"leaving"`
		Endpoints       []wireEndpoint `json:"endpoints"`
	}

	// wireMember is an entry VM as this VM sees it.
	wireMember struct {
		ID     string `json:"id"`
		Centre string `json:"centre"`
		Peer   string `json:"peer"`
		State  string `json:"state"`
	}

	// wireEndpoint is an endpoint of the configuration in force.
	wireEndpoint struct {
		ID      string `json:"id"`
		Search  string `json:"search"`
		Shard   string `json:"shard"`
		Address string `json:"address"`
		// IdleReason is why the endpoint gets no calls or is called last, or empty for other endpoints.
		IdleReason string `json:"idle"`
	}

	// wireConfig is the JSON body of the response to GET /config.
	wireConfig struct {
		Revision uint64      `json:"revision"`
		Values   []wireValue `json:"values"`
	}

	// wireValue is one value of the configuration in force.
	wireValue struct {
		Path string `json:"path"`
		JSON string `json:"value"`
	}
)

// Reasons why an endpoint gets no calls, or is called last.
const (
	idleConfigured    = "leaving: set in the configuration"
	idleReported      = "leaving: told by the endpoint, the platform or a peer"
	idleNotInSnapshot = "its shard is not in the newest snapshot"
	idleEjected       = "asked last: its recent calls failed"
)

// handleStatus serves GET /status: what this VM knows of the configuration, the other VMs and the endpoints.
func (s *Server) handleStatus(_ context.Context, rc *app.RequestContext) {
	v, now := s.views.Load(), s.Now()
	w := wireStatus{
		Node:            string(s.node),
		State:           s.State(),
		Revision:        uint64(v.Revision),
		RevisionAge:     ageMillis(now, v.InForceSince),
		ViewAge:         ageMillis(now, v.At),
		RefusedRevision: uint64(v.RefusedRevision),
		Problem:         v.Problem,
		Members:         []wireMember{},
		Leaving:         []string{},
		Endpoints:       []wireEndpoint{},
	}
	for _, m := range v.Members {
		w.Members = append(w.Members, wireMember{
			ID: string(m.ID), Centre: string(m.Centre), Peer: string(m.Peer), State: string(m.State),
		})
	}
	for id := range v.Leaving {
		w.Leaving = append(w.Leaving, string(id))
	}
	sort.Strings(w.Leaving)
	if v.Catalog != nil {
		w.Endpoints = append(w.Endpoints, s.listEndpoints(now, v)...)
	}
	rc.JSON(http.StatusOK, w)
}

// listEndpoints lists the endpoints by search and id.
func (s *Server) listEndpoints(now time.Time, v *view.View) []wireEndpoint {
	var all []wireEndpoint
	for _, search := range v.Catalog.Searches {
		inNewest := make(map[unit.ShardID]bool)
		if newest, ok := search.NewestSnapshot(); ok {
			for _, shard := range newest.Shards {
				inNewest[shard] = true
			}
		}
		for _, e := range search.Endpoints {
			all = append(all, wireEndpoint{
				ID: string(e.ID), Search: string(search.Name), Shard: string(e.Shard), Address: string(e.Address),
				IdleReason: s.idleReason(now, v, search.Name, e, inNewest[e.Shard]),
			})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		return a.Search < b.Search || a.Search == b.Search && a.ID < b.ID
	})
	return all
}

// idleReason returns why an endpoint gets no calls or is called last, or "" for other endpoints. inNewest reports
// whether the newest snapshot has the endpoint's shard.
func (s *Server) idleReason(
	now time.Time, v *view.View, search unit.SearchName, e catalog.Endpoint, inNewest bool,
) string {
	switch {
	case e.Leaving:
		return idleConfigured
	case v.Leaving[e.ID]:
		return idleReported
	case !inNewest:
		return idleNotInSnapshot
	case s.Ejected(now, search, e.ID):
		return idleEjected
	}
	return ""
}

// handleConfig serves GET /config: the values of the configuration in force.
func (s *Server) handleConfig(_ context.Context, rc *app.RequestContext) {
	v := s.views.Load()
	w := wireConfig{Revision: uint64(v.Revision), Values: []wireValue{}}
	for _, value := range folder.Flatten(v.Catalog) {
		w.Values = append(w.Values, wireValue{Path: value.Path, JSON: value.JSON})
	}
	rc.JSON(http.StatusOK, w)
}

// ageMillis returns the milliseconds since a time, or -1 for the zero time.
func ageMillis(now, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since).Milliseconds()
}
