// Package soak runs entry VMs as separate processes between stand-ins, injects faults that a seed draws, and checks from
// what callers and endpoints see that the promises of docs/INVARIANTS.md hold. Only tests use it.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KindFreeze stops an entry VM's process for a while.
	KindFreeze Kind = "freeze"
	// KindKill kills an entry VM's process, which is then started again.
	KindKill Kind = "kill"
	// KindStop asks an entry VM's process for a planned stop; it is then started again.
	KindStop Kind = "stop"
	// KindHangup tells an entry VM's process that its settings file has changed.
	KindHangup Kind = "hangup"
	// KindRegistry has the registry fail for all entry VMs.
	KindRegistry Kind = "registry"
	// KindCompact has the registry forget its history.
	KindCompact Kind = "compact"
	// KindRegistryLink, KindPeerLink and KindEndpointLink trouble the connections of one entry VM to the registry, of the
	// others to one entry VM, and of all to one endpoint.
	KindRegistryLink Kind = "registry link"
	KindPeerLink     Kind = "peer link"
	KindEndpointLink Kind = "endpoint link"
	// KindEndpoint has an endpoint misbehave.
	KindEndpoint Kind = "endpoint"
	// KindDrain has an endpoint leave and come back.
	KindDrain Kind = "drain"
	// KindReuse has an endpoint's address go to an endpoint of another service.
	KindReuse Kind = "reuse"
	// KindTable publishes a new routing table.
	KindTable Kind = "table"
	// KindBurst has many callers come at once.
	KindBurst Kind = "burst"
)

// kinds are all kinds with how often each is drawn, relative to the others.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{KindFreeze, 2},
	{KindKill, 2},
	{KindStop, 3},
	{KindHangup, 1},
	{KindRegistry, 2},
	{KindCompact, 1},
	{KindRegistryLink, 2},
	{KindPeerLink, 1},
	{KindEndpointLink, 3},
	{KindEndpoint, 3},
	{KindDrain, 2},
	{KindReuse, 1},
	{KindTable, 4},
	{KindBurst, 1},
}

const (
	// minDuration and longest bound how long a fault lasts; the longest outlasts the time after which a VM must have a change.
	minDuration = 200 * time.Millisecond
	maxDuration = 3500 * time.Millisecond
	// seriesShare is the share of the faults that come as a series, seriesMost its length, and seriesGap the longest time
	// between two of its starts, which is shorter than most faults, so that they overlap.
	seriesShare     = 0.3
	maxSeriesLength = 4
	maxSeriesGap    = 900 * time.Millisecond
)

// Fault is one fault of a run.
type Fault struct {
	// At is the time from the run's start, and For how long it lasts.
	At  time.Duration
	For time.Duration
	// Kind is what happens, Target the number of what it happens to, modulo how many there are, and Variant how.
	Kind    Kind
	Target  int
	Variant int
}

// Plan draws the faults of a run: about perSecond of them for each second of length, in the order of their starts.
func Plan(seed uint64, length time.Duration, perSecond float64) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	total := max(1, int(length.Seconds()*perSecond))
	var all []Fault
	for len(all) < total {
		f := Fault{
			At:      drawDuration(r, 0, length),
			For:     drawDuration(r, minDuration, maxDuration),
			Kind:    drawKind(r),
			Target:  r.IntN(1 << 16),
			Variant: r.IntN(1 << 16),
		}
		all = append(all, f)
		if r.Float64() >= seriesShare {
			continue
		}
		for range 1 + r.IntN(maxSeriesLength-1) {
			f.At += drawDuration(r, 0, maxSeriesGap)
			f.Target++
			all = append(all, f)
		}
	}
	all = slices.DeleteFunc(all, func(f Fault) bool { return f.At >= length })
	slices.SortFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

func drawDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

func drawKind(r *rand.Rand) Kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	n := r.IntN(total)
	for _, k := range kinds {
		if n -= k.weight; n < 0 {
			return k.kind
		}
	}
	return KindTable
}
