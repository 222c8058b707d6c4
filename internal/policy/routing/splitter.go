package routing

import "basilspan/internal/core/unit"

// Splitter picks the services of splits in proportion to their weights, by smooth weighted round robin. It is not safe
// for use by several goroutines.
type Splitter struct {
	version unit.TableVersion
	turns   map[unit.RouteName][]unit.Weight
}

// Pick gives the service that the next request of the route goes to. The choice does not depend on the state of the
// services' endpoints, so that the published weights hold.
func (s *Splitter) Pick(version unit.TableVersion, r *Route) unit.ServiceName {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	if s.turns == nil || s.version != version {
		s.version = version
		s.turns = make(map[unit.RouteName][]unit.Weight)
	}
	turns := s.turns[r.Name]
	if turns == nil {
		turns = make([]unit.Weight, len(r.Split))
		s.turns[r.Name] = turns
	}
	best, total := 0, unit.Weight(0)
	for i, p := range r.Split {
		turns[i] += p.Weight
		total += p.Weight
		if turns[i] > turns[best] {
			best = i
		}
	}
	turns[best] -= total
	return r.Split[best].Service
}
