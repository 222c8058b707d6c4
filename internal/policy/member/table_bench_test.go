package member

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"basilspan/internal/core/unit"
)

// newFilledTable returns a table that has received a heartbeat of n VMs.
func newFilledTable(n int, now time.Time) *Table {
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

// BenchmarkTable measures a table of n VMs: its memory, and the CPU time for one second of work, which is one Tick and
// the records and targets of one heartbeat round.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{7, 880, 7900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heapBytes()
			t := newFilledTable(n, now)
			tableBytes := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				t.CountHeartbeat()
				t.Tick(now.Add(time.Second), 0)
				if len(t.Records()) != n+1 {
					b.Fatal("a record is missing")
				}
				t.Targets(8, func(int) int { return 0 })
			}
			b.ReportMetric(tableBytes/float64(n), "heap-bytes/member")
			runtime.KeepAlive(t)
		})
	}
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
