// Package revision decides which published configuration is in force on a VM: the highest version among the valid ones
// that it has received. A VM never goes back to an earlier version.
//
// Configurations are ordered by revision and, when one revision was published with different contents, by digest. The
// order is total, so all VMs that receive the same configurations, in any order, end with the same one in force.
package revision

import (
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Digest identifies the content of a configuration.
type Digest string

// Version identifies one configuration.
type Version struct {
	Revision unit.Revision
	Digest   Digest
}

// Newer reports whether v comes after other in the order of configurations.
func (v Version) Newer(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.Digest > other.Digest
}

// Offer is a configuration received from the platform or a peer.
type Offer struct {
	Revision unit.Revision
	Digest   Digest
	// Catalog is nil when the content is not valid; Problem is the reason then.
	Catalog *catalog.Catalog
	Problem string
}

// Version returns the version of the offered configuration.
func (o Offer) Version() Version {
	return Version{Revision: o.Revision, Digest: o.Digest}
}

// Verdict is the decision on an offer.
type Verdict int

// The verdicts.
const (
	// VerdictAccepted means that the offer is now in force.
	VerdictAccepted Verdict = iota + 1
	// VerdictOld means that the offer is not newer than the configuration in force.
	VerdictOld
	// VerdictInvalid means that the offer's content is refused and the configuration in force stays.
	VerdictInvalid
	// VerdictConflict means that the offer has the revision in force but other content. If both contents are valid, the
	// one with the higher digest is in force afterwards, which is the same on every VM.
	VerdictConflict
)

// Selector selects the configuration in force on this VM. It belongs to the control goroutine.
type Selector struct {
	current Offer
	// refused is the newest configuration whose content was refused.
	refused Offer
}

// Apply decides on an offer and puts it in force if it is valid and newer than the current configuration. A newer one
// that is not valid, so that its Catalog is nil, is kept for NewestRefused.
func (s *Selector) Apply(offer Offer) Verdict {
	conflict := s.current.Catalog != nil && offer.Revision == s.current.Revision && offer.Digest != s.current.Digest
	newer := s.current.Catalog == nil || offer.Version().Newer(s.current.Version())
	if offer.Catalog == nil && newer {
		s.recordRefused(offer)
	}
	if offer.Catalog != nil && newer {
		s.current = offer
	}
	switch {
	case conflict:
		return VerdictConflict
	case !newer:
		return VerdictOld
	case offer.Catalog == nil:
		return VerdictInvalid
	default:
		return VerdictAccepted
	}
}

// recordRefused keeps the newest offer whose content was refused.
func (s *Selector) recordRefused(offer Offer) {
	if offer.Version().Newer(s.refused.Version()) {
		s.refused = offer
	}
}

// ShouldFetch reports whether a configuration that a peer has in force should be fetched: it is newer than the current
// one, and it is not the newest refused one.
func (s *Selector) ShouldFetch(v Version) bool {
	if v.Revision == 0 || v == s.refused.Version() {
		return false
	}
	return s.current.Catalog == nil || v.Newer(s.current.Version())
}

// Current returns the configuration in force; its Catalog is nil before the first one is accepted.
func (s *Selector) Current() Offer {
	return s.current
}

// NewestRefused returns the highest revision that was refused, with the reason; 0 if none was.
func (s *Selector) NewestRefused() (revision unit.Revision, problem string) {
	return s.refused.Revision, s.refused.Problem
}
