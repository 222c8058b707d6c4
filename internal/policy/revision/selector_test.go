package revision

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

// TestSelectorNeverReverts applies the rows in order to one selector: only a newer valid configuration replaces the
// current one.
func TestSelectorNeverReverts(t *testing.T) {
	valid := &catalog.Catalog{}
	tests := []struct {
		name  string
		offer Offer
		want  Verdict
		// inForce and digest are those of the current configuration afterwards.
		inForce unit.Revision
		digest  Digest
	}{
		{"an invalid first one is refused", Offer{Revision: 3, Digest: "dx", Problem: "bad"}, VerdictInvalid, 0, ""},
		{"the first valid one is accepted", Offer{Revision: 4, Digest: "d4", Catalog: valid}, VerdictAccepted, 4, "d4"},
		{"an older one is not accepted", Offer{Revision: 3, Digest: "d3", Catalog: valid}, VerdictOld, 4, "d4"},
		{"the same again changes nothing", Offer{Revision: 4, Digest: "d4", Catalog: valid}, VerdictOld, 4, "d4"},
		{"a conflict: the higher digest wins", Offer{Revision: 4, Digest: "dx", Catalog: valid}, VerdictConflict, 4, "dx"},
		{"a conflict: the lower digest loses", Offer{Revision: 4, Digest: "d4", Catalog: valid}, VerdictConflict, 4, "dx"},
		{"a conflict with an invalid one", Offer{Revision: 4, Digest: "dz", Problem: "bad"}, VerdictConflict, 4, "dx"},
		{"an invalid newer one is refused", Offer{Revision: 5, Digest: "d5", Problem: "bad"}, VerdictInvalid, 4, "dx"},
		{"a newer one is accepted", Offer{Revision: 6, Digest: "d6", Catalog: valid}, VerdictAccepted, 6, "d6"},
		{
			"a lower revision after a restart of the platform is not accepted",
			Offer{Revision: 1, Digest: "d1", Catalog: valid},
			VerdictOld, 6, "d6",
		},
	}
	s := &Selector{}
	for _, tt := range tests {
		assert.Equal(t, s.Apply(tt.offer), tt.want, tt.name)
		assert.Equal(t, s.Current().Revision, tt.inForce, tt.name)
		assert.Equal(t, s.Current().Digest, tt.digest, tt.name)
	}
}

// TestSelectorShouldFetch checks which versions of a peer are fetched while d4 is in force ("held") and d6 was refused.
func TestSelectorShouldFetch(t *testing.T) {
	s := &Selector{}
	s.Apply(Offer{Revision: 4, Digest: "d4", Catalog: &catalog.Catalog{}})
	s.Apply(Offer{Revision: 6, Digest: "d6", Problem: "bad"})
	tests := []struct {
		name    string
		version Version
		want    bool
	}{
		{"none", Version{}, false},
		{"older", Version{3, "d3"}, false},
		{"held", Version{4, "d4"}, false},
		{"revision in force with a lower digest", Version{4, "d0"}, false},
		{"revision in force with a higher digest", Version{4, "d5"}, true},
		{"newer", Version{5, "d5"}, true},
		{"refused", Version{6, "d6"}, false},
		{"newer than the refused one", Version{7, "d7"}, true},
	}
	for _, tt := range tests {
		assert.Equal(t, s.ShouldFetch(tt.version), tt.want, tt.name)
	}
}

// TestSelectorIgnoresOrder applies the same offers to two selectors in different orders, for the second one with one
// offer repeated: neither goes back to an earlier version, and both end with the same configuration in force.
func TestSelectorIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(drawOffer(), 1, 20).Draw(t, "offers")
		reordered := rapid.Permutation(append(append([]Offer(nil), offers...), offers[0])).Draw(t, "again")
		a, b := &Selector{}, &Selector{}
		applyAll(t, a, offers)
		applyAll(t, b, reordered)
		if a.Current().Version() != b.Current().Version() {
			t.Fatalf("in force: %v and %v", a.Current().Version(), b.Current().Version())
		}
	})
}

// applyAll applies offers in order and checks that the configuration in force never becomes older.
func applyAll(t *rapid.T, s *Selector, offers []Offer) {
	for _, offer := range offers {
		before := s.Current().Version()
		s.Apply(offer)
		if before.Newer(s.Current().Version()) {
			t.Fatalf("configuration in force went back from %v to %v", before, s.Current().Version())
		}
	}
}

// drawOffer returns random offers. Equal digests mean equal content, so validity depends on the digest alone.
func drawOffer() *rapid.Generator[Offer] {
	return rapid.Custom(func(t *rapid.T) Offer {
		digest := rapid.SampledFrom([]Digest{"a", "b", "bad", "c", "worse"}).Draw(t, "digest")
		offer := Offer{Revision: unit.Revision(rapid.IntRange(1, 6).Draw(t, "revision")), Digest: digest}
		if digest == "bad" || digest == "worse" {
			offer.Problem = "bad"
			return offer
		}
		offer.Catalog = &catalog.Catalog{}
		return offer
	})
}
