package discovery

import (
	"maps"
	"slices"
	"time"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/evacuation"
)

// heldRevision is the revision of a relayed evacuation that the relaying VM holds against a restored registry. The
// registry gives out no such revision.
const heldRevision unit.Revision = 0

// returnColdTime is how long the endpoints of a data centre count as cold after its evacuation has ended, unless they have
// registered since. They say with the next change of their registration for how long they really are.
const returnColdTime = 5 * time.Second

// centreReturn is the end of an evacuation.
type centreReturn struct {
	unit.Position
	coldUntil time.Time
}

// listEvacuations applies a complete listing of what operators publish.
func (s *State) listEvacuations(now time.Time, at unit.Position, items []registry.Item) {
	held, heldBack := len(s.evacuations.Held()), len(s.evacuations.HeldBack())
	s.applyEvacuations(now, s.evacuations.Replace(now, at, s.decodeEvacuations(items)))
	if orders := s.evacuations.Held(); len(orders) > held {
		s.Log.Warn("evacuations held that a restored registry lacks", "centres", centresOf(orders),
			"era", at.Era, "revision", at.Revision)
	}
	if centres := s.evacuations.HeldBack(); len(centres) > heldBack {
		s.Log.Warn("evacuations ignored that a restored registry has again", "centres", centres,
			"era", at.Era, "revision", at.Revision)
	}
}

// changeEvacuations applies changes of what operators publish.
func (s *State) changeEvacuations(now time.Time, items []registry.Item) {
	for _, i := range items {
		centre, ok := s.evacuatedCentre(i)
		switch {
		case !ok:
		case i.Deleted:
			s.applyEvacuations(now, s.evacuations.Remove(now, centre, i.Position))
		default:
			s.applyEvacuations(now, s.evacuations.Put(now, evacuation.Order{Centre: centre, Position: i.Position}))
		}
	}
}

// offerEvacuations takes evacuations that a peer holds against a restored registry, and relays them.
func (s *State) offerEvacuations(now time.Time, items []registry.Item) {
	for _, order := range s.decodeEvacuations(items) {
		changes := s.evacuations.Offer(now, order)
		s.applyEvacuations(now, changes)
		s.relayEvacuations(now, changes)
	}
}

// sweepEvacuations ends the evacuations, or begins them, whose registration in a restored registry counts from now on.
func (s *State) sweepEvacuations(now time.Time) {
	changes := s.evacuations.Sweep(now)
	s.applyEvacuations(now, changes)
	s.relayEvacuations(now, changes)
}

// relayEvacuations relays changes that the registry does not show.
func (s *State) relayEvacuations(now time.Time, changes []evacuation.Change) {
	for _, c := range changes {
		item := s.evacuationItem(c.Order)
		item.Deleted = !c.Evacuated
		s.cache.substitute(now, s.OperatorPrefix, item)
	}
}

// applyEvacuations logs changes of the evacuated data centres and publishes them.
func (s *State) applyEvacuations(now time.Time, changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.Metrics.Add("evacuation.changed", 1)
		if c.Evacuated {
			delete(s.returns, c.Centre)
			s.Log.Info("evacuation in force", "centre", c.Centre, "era", c.Era, "revision", c.Revision, "held", c.Held)
		} else {
			s.returns[c.Centre] = centreReturn{Position: c.Position, coldUntil: now.Add(returnColdTime)}
			s.Log.Info("evacuation ended", "centre", c.Centre, "era", c.Era, "revision", c.Revision,
				"lasted_s", c.Known.Seconds())
		}
	}
	s.view.Evacuated = s.evacuations.Evacuated()
	s.publish(now)
}

// withEvacuations returns what this VM relays for a listing at a position: the evacuations that it holds are added to those
// of the registry, and those that it ignores are left out.
func (s *State) withEvacuations(at unit.Position, items []registry.Item) []registry.Item {
	held, heldBack := s.evacuations.Held(), s.evacuations.HeldBack()
	if len(held)+len(heldBack) == 0 {
		return items
	}
	all := slices.DeleteFunc(slices.Clone(items), func(i registry.Item) bool {
		centre, ok := s.evacuatedCentre(i)
		return ok && (slices.Contains(heldBack, centre) || i.Revision == heldRevision)
	})
	for _, order := range held {
		order.Era = at.Era
		all = append(all, s.evacuationItem(order))
	}
	return all
}

// decodeEvacuations returns the evacuations among the items of a listing.
func (s *State) decodeEvacuations(items []registry.Item) []evacuation.Order {
	var all []evacuation.Order
	for _, i := range items {
		if centre, ok := s.evacuatedCentre(i); ok && !i.Deleted {
			held := i.Revision == heldRevision
			all = append(all, evacuation.Order{Centre: centre, Position: i.Position, Held: held})
		}
	}
	return all
}

// evacuatedCentre returns the data centre that an item evacuates; ok is false for other items.
func (s *State) evacuatedCentre(i registry.Item) (centre unit.CentreName, ok bool) {
	if s.Evacuated == nil {
		return "", false
	}
	return s.Evacuated(i.Key)
}

// evacuationItem returns the published form of an order. A held one has no revision.
func (s *State) evacuationItem(order evacuation.Order) registry.Item {
	if order.Held {
		order.Revision = heldRevision
	}
	return registry.Item{Position: order.Position, Key: s.EvacuationKey(order.Centre), Value: []byte("{}")}
}

// centresOf returns the data centres of orders.
func centresOf(orders []evacuation.Order) []unit.CentreName {
	all := make([]unit.CentreName, 0, len(orders))
	for _, o := range orders {
		all = append(all, o.Centre)
	}
	return all
}

// withReturns returns the endpoints with those of data centres whose evacuation ended lately as cold. It changes no slice
// or map.
func (s *State) withReturns(
	now time.Time, byService map[unit.ServiceName][]directory.Endpoint,
) map[unit.ServiceName][]directory.Endpoint {
	maps.DeleteFunc(s.returns, func(_ unit.CentreName, r centreReturn) bool { return !now.Before(r.coldUntil) })
	if len(s.returns) == 0 {
		return byService
	}
	all := make(map[unit.ServiceName][]directory.Endpoint, len(byService))
	for service, endpoints := range byService {
		endpoints = slices.Clone(endpoints)
		for i, e := range endpoints {
			r, ok := s.returns[e.Centre]
			if ok && !e.After(r.Position) && e.WarmAt.Before(r.coldUntil) {
				endpoints[i].WarmAt = r.coldUntil
			}
		}
		all[service] = endpoints
	}
	return all
}

// withoutCentres returns the endpoints that are not in one of the data centres. It changes no slice or map.
func withoutCentres(
	byService map[unit.ServiceName][]directory.Endpoint, centres []unit.CentreName,
) map[unit.ServiceName][]directory.Endpoint {
	if len(centres) == 0 {
		return byService
	}
	kept := make(map[unit.ServiceName][]directory.Endpoint, len(byService))
	for service, endpoints := range byService {
		for _, e := range endpoints {
			if !slices.Contains(centres, e.Centre) {
				kept[service] = append(kept[service], e)
			}
		}
	}
	return kept
}
