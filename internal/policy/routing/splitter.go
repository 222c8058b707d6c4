package routing

import "basilspan/internal/core/unit"

// Splitter picks the services of splits in proportion to their weights, by smooth weighted round robin. It is not safe
// for use by several goroutines.
type Splitter struct {
	version unit.TableVersion
	current map[unit.RouteName][]unit.Weight
}

// Pick gives the service that the next request of the route goes to. The choice does not depend on the state of the
// services' endpoints, so that the published weights hold.
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
