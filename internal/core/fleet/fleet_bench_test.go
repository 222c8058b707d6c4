package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/vmcount"
)

// BenchmarkCensus measures the processor time and the size of a seed's response to one of n VMs.
func BenchmarkCensus(b *testing.B) {
	for _, n := range []int{7, 59, 880, 7900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			f := &Fleet{census: vmcount.New(now, "seed")}
			var caller divide.Candidate
			for i := range n {
				node := unit.NodeID(fmt.Sprint("front-amman-a-", i))
				caller = divide.Candidate{
					Node: node, Address: "10.200.100.100:8106", Centre: unit.CentreName(fmt.Sprint("c", i%9)), Power: 0.192,
				}
				f.census.RecordCall(now, caller)
			}
			reply := make(chan wireCensus, 1)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				f.onCensusCall(now, censusCall{caller: caller, reply: reply})
				content, err := json.Marshal(<-reply)
				if err != nil {
					b.Fatal(err)
				}
				size = len(content)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
