package view

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

// members makes a list of that many entry VMs with strings of their own, as a decoded list has.
func members(n int) []member.Member {
	all := make([]member.Member, 0, n)
	for i := range n {
		text := strconv.Itoa(i)
		all = append(all, member.Member{
			ID:     unit.NodeID("entry-" + text),
			Centre: unit.CentreName("centre-" + strconv.Itoa(i%9)),
			Peer:   unit.Address("10.1." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":8082"),
			State:  member.StateLive,
		})
	}
	return all
}

// BenchmarkMembers measures the memory of one held list of entry VMs: run with -benchtime 1x.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{7, 880, 7900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				list := members(n)
				b.ReportMetric((heapBytes()-before)/float64(n), "heap-bytes/member")
				runtime.KeepAlive(list)
			}
		})
	}
}

// BenchmarkPublish measures the publication of a view and its reading by traffic.
func BenchmarkPublish(b *testing.B) {
	s := NewStore()
	all := members(7900)
	b.ReportAllocs()
	for b.Loop() {
		s.Publish(&View{At: time.Unix(0, 0), Members: all})
		if len(s.Load().Members) != len(all) {
			b.Fatal("the published view is not the one that was read")
		}
	}
}

// heapBytes gives the live bytes of the heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
