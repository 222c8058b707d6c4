// Package routing holds the routing table that callers' requests are matched against, and picks a service for routes
// with a traffic split. A table is immutable once it is built.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basilspan/internal/core/unit"
)

// MaxAttempts is the largest number of attempts that a route can allow. The memory that a request reserves grows with
// it.
const MaxAttempts = 100

// Route defines which services handle the requests for one host and path prefix, and within which limits.
type Route struct {
	Name   unit.RouteName
	Host   unit.HostName
	Prefix string
	// Repeatable requests may be executed more than once.
	Repeatable bool
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the time within which a response has its full value to the caller.
	TargetLatency time.Duration
	Urgency       unit.Urgency
	// Attempts is the maximum number of endpoints that one request may be sent to, for each service of Shards; it is from
	// 1 to MaxAttempts.
	Attempts int
	// Split lists the services of which each request goes to one. It is empty on a route with Shards.
	Split []WeightedService
	// Shards lists the services that every request goes to. Their replies are merged.
	Shards []unit.ServiceName
	// TopK is how many of the greatest records the merged response holds.
	TopK int
	// MinShare is the smallest share of Shards that must reply for the request to be answered.
	MinShare unit.Share
}

// WeightedService is one service of a traffic split.
type WeightedService struct {
	Service unit.ServiceName
	Weight  unit.Weight
}

// LimitAttempts returns n as a number of attempts that a route can allow.
func LimitAttempts(n int) int {
	return min(max(n, 1), MaxAttempts)
}

// Gathers reports whether a request goes to every service of the route and the replies are merged.
func (r *Route) Gathers() bool {
	return len(r.Shards) > 0
}

// Services returns the services that requests of the route may go to.
func (r *Route) Services() []unit.ServiceName {
	all := slices.Clone(r.Shards)
	for _, p := range r.Split {
		all = append(all, p.Service)
	}
	return all
}

// Service holds the published settings that apply to all endpoints of one service.
type Service struct {
	Name unit.ServiceName
	// Connections is how many connections one endpoint accepts from all entry VMs together.
	Connections unit.Connections
	// ColdRate is how many requests an endpoint that is cold stands from all entry VMs together, 0 without a limit.
	ColdRate unit.RequestRate
}

// Limits bounds what a caller may send and how long it may take. A zero field means that no limit is published.
type Limits struct {
	Header unit.Bytes
	Body   unit.Bytes
	// HeaderTimeout limits reading a request's header, and IdleTimeout the wait for the next request on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Exceeded returns the result code for a request whose header or body size exceeds its limit, or 0 if neither does.
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

// Table is one version of all routes and services. It is immutable.
type Table struct {
	Version  unit.TableVersion
	Services map[unit.ServiceName]Service
	Limits   Limits

	byHost map[unit.HostName][]*Route
	routes []*Route
	// named has the services that the table names anywhere.
	named map[unit.ServiceName]bool
}

// NewTable returns a table of the given routes and services.
func NewTable(version unit.TableVersion, routes []*Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[unit.ServiceName]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[unit.HostName][]*Route),
		routes:   routes,
		named:    make(map[unit.ServiceName]bool),
	}
	for _, s := range services {
		t.Services[s.Name] = s
		t.named[s.Name] = true
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, p := range r.Split {
			t.named[p.Service] = true
		}
		for _, s := range r.Shards {
			t.named[s] = true
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Routes returns all routes in the order in which they were published.
func (t *Table) Routes() []*Route {
	return t.routes
}

// Names reports whether the table names a service, for a route or on its own.
func (t *Table) Names(service unit.ServiceName) bool {
	return t.named[service]
}

// Match returns the route of the host whose prefix is the longest one that path begins with, or nil if there is none.
func (t *Table) Match(host unit.HostName, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ColdRate returns how many requests a second a cold endpoint of the service stands from all entry VMs together, or 0 if no
// limit is published.
func (t *Table) ColdRate(service unit.ServiceName) unit.RequestRate {
	return t.Services[service].ColdRate
}

// Connections returns how many connections an endpoint of the service accepts from all entry VMs together, or 0 if no
// limit is published.
func (t *Table) Connections(service unit.ServiceName) unit.Connections {
	return t.Services[service].Connections
}
