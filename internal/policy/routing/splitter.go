package routing

import "basilspan/internal/core/unit"

// Splitter picks a service from a traffic split in proportion to the weights, by smooth weighted round robin. It is
// not safe for concurrent use.
type Splitter struct {
	version unit.TableVersion
	// current holds each route's current weights of the smooth weighted round robin, for this version of the table.
	current map[routeKey][]unit.Weight
}

// routeKey identifies a route in a table, in which several routes may have the same name.
type routeKey struct {
	name   unit.RouteName
	host   unit.HostName
	prefix string
}

// Pick returns the service for the route's next request, or "" for a route without any. It ignores the state of the
// services' endpoints, so that the published weights hold. A new table version starts over.
func (s *Splitter) Pick(version unit.TableVersion, r *Route) unit.ServiceName {
	switch len(r.Split) {
	case 0:
		return ""
	case 1:
		return r.Split[0].Service
	}
	if s.current == nil || s.version != version {
		s.version = version
		s.current = make(map[routeKey][]unit.Weight)
	}
	key := routeKey{name: r.Name, host: r.Host, prefix: r.Prefix}
	current := s.current[key]
	if len(current) != len(r.Split) {
		current = make([]unit.Weight, len(r.Split))
		s.current[key] = current
	}
	best, total := 0, unit.Weight(0)
	for i, p := range r.Split {
		current[i] += p.Weight
		total += p.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Split[best].Service
}
