// Package revision decides which published configuration a node holds: the highest one that is valid, and never an
// earlier one than it has held.
//
// Configurations are ordered by revision and, where one revision was shown with two contents, by digest. The order is
// total, so nodes that are shown the same configurations in any order hold the same one.
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

// Newer says whether v comes after other.
func (v Version) Newer(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.Digest > other.Digest
}

// Offer is a configuration that the platform or a peer has shown.
type Offer struct {
	Revision unit.Revision
	Digest   Digest
	// Catalog is nil when the content is not valid; Problem then says why.
	Catalog *catalog.Catalog
	Problem string
}

// Version gives what identifies the offer.
func (o Offer) Version() Version {
	return Version{Revision: o.Revision, Digest: o.Digest}
}

// Verdict says what became of an offer.
type Verdict int

// The verdicts.
const (
	// VerdictAccepted means that the offer is now in force.
	VerdictAccepted Verdict = iota + 1
	// VerdictOld means that the offer is not newer than what is held.
	VerdictOld
	// VerdictInvalid means that the offer's content is refused and the held configuration stays in force.
	VerdictInvalid
	// VerdictConflict means that the held revision was shown with other content. The content with the higher digest
	// is in force afterwards, on every node alike.
	VerdictConflict
)

// Selector holds the configuration in force. It belongs to the control goroutine.
type Selector struct {
	current Offer
	// refused is the newest configuration whose content was refused.
	refused Offer
}

// Apply decides about an offer.
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

func (s *Selector) recordRefused(offer Offer) {
	if offer.Version().Newer(s.refused.Version()) {
		s.refused = offer
	}
}

// ShouldFetch says whether a configuration that a peer holds is worth fetching.
func (s *Selector) ShouldFetch(v Version) bool {
	if v.Revision == 0 || v == s.refused.Version() {
		return false
	}
	return s.current.Catalog == nil || v.Newer(s.current.Version())
}

// Current gives the configuration in force; its Catalog is nil before the first is accepted.
func (s *Selector) Current() Offer {
	return s.current
}

// NewestRefused gives the highest refused revision and the reason.
func (s *Selector) NewestRefused() (revision unit.Revision, problem string) {
	return s.refused.Revision, s.refused.Problem
}
