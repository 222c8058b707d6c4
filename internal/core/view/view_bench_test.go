package view

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

// members returns n entry VMs, each with strings of its own, as in a decoded list.
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

// BenchmarkMembers measures the memory that a list of entry VMs takes. Run it with -benchtime 1x.
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

// BenchmarkPublish measures the publication of a view and a read of it.
func BenchmarkPublish(b *testing.B) {
	s := NewStore()
	all := members(7900)
	b.ReportAllocs()
	for b.Loop() {
		s.Publish(&View{At: time.Unix(0, 0), Members: all})
		if len(s.Load().Members) != len(all) {
			b.Fatal("Load returned another view than the published one")
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
