package revision

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

func TestHolderNeverReverts(t *testing.T) {
	valid := &catalog.Catalog{}
	tests := []struct {
		name  string
		offer Offer
		want  Verdict
		held  unit.Revision
	}{
		{"the first is accepted", Offer{Revision: 4, Digest: "d4", Catalog: valid}, VerdictAccepted, 4},
		{"an older one is not", Offer{Revision: 3, Digest: "d3", Catalog: valid}, VerdictOld, 4},
		{"the same again changes nothing", Offer{Revision: 4, Digest: "d4", Catalog: valid}, VerdictOld, 4},
		{"the same with other content is a conflict", Offer{Revision: 4, Digest: "dx", Catalog: valid}, VerdictConflict, 4},
		{"an invalid one leaves the last in force", Offer{Revision: 5, Digest: "d5", Problem: "bad"}, VerdictInvalid, 4},
		{"a newer one is accepted", Offer{Revision: 6, Digest: "d6", Catalog: valid}, VerdictAccepted, 6},
	}
	h := &Holder{}
	for _, tt := range tests {
		assert.Equal(t, h.Take(tt.offer), tt.want, tt.name)
		assert.Equal(t, h.Held().Revision, tt.held, tt.name)
	}
}
