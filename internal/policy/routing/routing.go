// Package routing holds the routes that callers' requests are matched against, and picks among the services of a
// split. A table is never changed once it is built.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basilspan/internal/core/unit"
)

// Route says where the requests under one host and prefix go, and under which terms.
type Route struct {
	Name   unit.RouteName
	Host   unit.HostName
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	Urgency       unit.Urgency
	// Attempts is how many endpoints one request may be sent to, for each service of Shards.
	Attempts int
	// Split are the services that a request goes to one of; it is empty on a route with Shards.
	Split []WeightedService
	// Shards are the services that every request goes to; their replies are merged.
	Shards []unit.ServiceName
	// TopK is how many of the greatest records the merged answer holds.
	TopK int
	// MinShare is the share of Shards below which there is no answer.
	MinShare unit.Share
}

// WeightedService is one service of a split.
type WeightedService struct {
	Service unit.ServiceName
	Weight  unit.Weight
}

// Gathers says whether a request goes to every service of the route.
func (r *Route) Gathers() bool {
	return len(r.Shards) > 0
}

// Service is what is published about the endpoints of one service together.
type Service struct {
	Name unit.ServiceName
	// Connections is how many connections one endpoint accepts from all entry VMs together.
	Connections unit.Connections
}

// Limits bound what a caller may send; a limit of 0 is not published.
type Limits struct {
	Header unit.Bytes
	Body   unit.Bytes
	// HeaderTimeout bounds the reading of a request's header, and IdleTime the wait for a connection's next request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Exceeded gives the code of a request whose header or body of that size is too large, 0 for any other.
func (l Limits) Exceeded(header, body unit.Bytes) unit.Code {
	switch {
	case l.Header > 0 && header > l.Header:
		return unit.CodeHeaderTooLarge
	case l.Body > 0 && body > l.Body:
		return unit.CodeTooLarge
	default:
		return 0
	}
}

// Table is one version of all routes and services.
type Table struct {
	Version  unit.TableVersion
	Services map[unit.ServiceName]Service
	Limits   Limits

	byHost map[unit.HostName][]*Route
	routes []*Route
}

// NewTable makes a table of those routes and services.
func NewTable(version unit.TableVersion, routes []*Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[unit.ServiceName]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[unit.HostName][]*Route),
		routes:   routes,
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Routes gives all routes in the order in which they were published.
func (t *Table) Routes() []*Route {
	return t.routes
}

// Match gives the route of that host with the longest prefix of path, or nil.
func (t *Table) Match(host unit.HostName, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Connections gives how many connections an endpoint of the service accepts from all entry VMs together; 0 is not
// published.
func (t *Table) Connections(service unit.ServiceName) unit.Connections {
	return t.Services[service].Connections
}
