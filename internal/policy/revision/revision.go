// Package revision decides which published configuration a node holds: the highest one that is valid, and never an
// earlier one than it has held.
package revision

import (
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// Digest identifies the content of a configuration.
type Digest string

// Offer is a configuration that the platform or a peer has shown.
type Offer struct {
	Revision unit.Revision
	Digest   Digest
	// Catalog is nil when the content is not valid; Problem then says why.
	Catalog *catalog.Catalog
	Problem string
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
	// VerdictConflict means that the held revision was shown with other content.
	VerdictConflict
)

// Holder holds the configuration in force. It belongs to the control goroutine.
type Holder struct {
	held Offer
	// refused is the highest revision whose content was refused.
	refused unit.Revision
	problem string
}

// Take decides about an offer.
func (h *Holder) Take(offer Offer) Verdict {
	switch {
	case h.held.Catalog != nil && offer.Revision == h.held.Revision && offer.Digest != h.held.Digest:
		return VerdictConflict
	case offer.Revision <= h.held.Revision:
		return VerdictOld
	case offer.Catalog == nil:
		h.refused = max(h.refused, offer.Revision)
		h.problem = offer.Problem
		return VerdictInvalid
	}
	h.held = offer
	return VerdictAccepted
}

// Held gives the configuration in force; its Catalog is nil before the first is accepted.
func (h *Holder) Held() Offer {
	return h.held
}

// Refused gives the highest refused revision and the reason.
func (h *Holder) Refused() (refused unit.Revision, problem string) {
	return h.refused, h.problem
}
