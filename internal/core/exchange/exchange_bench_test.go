package exchange

import (
	"encoding/json"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

// BenchmarkEncodeHeartbeat measures the time to encode one heartbeat with the records of n VMs, and its size.
func BenchmarkEncodeHeartbeat(b *testing.B) {
	for _, n := range []int{7, 880, 7900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			state := &State{}
			for i := range n {
				state.Records = append(state.Records, member.Record{Member: member.Member{
					ID:          unit.NodeID("entry-" + strconv.Itoa(i)),
					Incarnation: 1796380000000,
					Centre:      "amman",
					Peer:        unit.Address("10.1." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":8082"),
					State:       member.StateLive,
				}, Beat: 86_400})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				content, err := json.Marshal(encodeHeartbeat("10.1.0.1:8082", state))
				assert.NilError(b, err)
				size = len(content)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(size)/float64(n), "bytes/member")
		})
	}
}
