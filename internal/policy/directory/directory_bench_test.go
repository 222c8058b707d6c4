package directory

import (
	"strconv"
	"testing"
	"time"

	"basilspan/internal/core/unit"
)

// BenchmarkRemoveBeyondBound measures the removal of an endpoint when maxGone others have gone.
func BenchmarkRemoveBeyondBound(b *testing.B) {
	d := New(4 * time.Second)
	for n := range maxGone + b.N {
		id := unit.EndpointID(strconv.Itoa(n))
		if n == maxGone {
			b.ResetTimer()
		}
		d.Put(leaving(id, unit.Address(id), 1))
		d.Remove(at(n), id, first(2), false)
	}
}
