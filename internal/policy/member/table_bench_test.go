package member

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"basilspan/internal/core/unit"
)

// filled makes a table that has heard that many VMs.
func filled(n int, now time.Time) *Table {
	t := New(Record{Member: Member{ID: "self", Incarnation: 1, State: StateLive}})
	for i := range n {
		t.Merge(now, Record{Member: Member{
			ID:          unit.NodeID("entry-" + strconv.Itoa(i)),
			Incarnation: 1,
			Centre:      "amman",
			Peer:        unit.Address("10.1." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":8082"),
			State:       StateLive,
		}, Beat: 1})
	}
	return t
}

// BenchmarkTable measures what a table of that many VMs costs: its memory, and the processor time of one second's
// judgement of silence with the records and targets of one round.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{7, 880, 7900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heap()
			t := filled(n, now)
			held := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				t.CountHeartbeat()
				t.Tick(now.Add(time.Second), 0)
				if len(t.Records()) != n+1 {
					b.Fatal("a record is missing")
				}
				t.Targets(8, func(int) int { return 0 })
			}
			b.ReportMetric(held/float64(n), "heap-bytes/member")
			runtime.KeepAlive(t)
		})
	}
}

// heap gives the live bytes of the heap.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
