package routing

import "basilspan/internal/core/unit"

// Splitter picks a service from a traffic split in proportion to the weights, by smooth weighted round robin. It is
// not safe for concurrent use.
type Splitter struct {
	version unit.TableVersion
	// current holds each route's current weights of the smooth weighted round robin, for this version of the table.
	current map[unit.RouteName][]unit.Weight
}

// Pick returns the service for the route's next request. It ignores the state of the services' endpoints, so that the
// published weights hold. A new table version starts over.
func (s *Splitter) Pick(version unit.TableVersion, r *Route) unit.ServiceName {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	if s.current == nil || s.version != version {
		s.version = version
		s.current = make(map[unit.RouteName][]unit.Weight)
	}
	current := s.current[r.Name]
	if current == nil {
		current = make([]unit.Weight, len(r.Split))
		s.current[r.Name] = current
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
