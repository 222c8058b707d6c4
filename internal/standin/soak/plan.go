// Package soak runs entry VMs as separate processes between stand-ins for the registry and the endpoints, injects
// faults drawn from a seed, and checks the promises of docs/INVARIANTS.md against what callers and endpoints observe.
// Only tests use it.
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
	// KindFreeze suspends an entry VM's process for a while.
	KindFreeze Kind = "freeze"
	// KindKill kills an entry VM's process, which is then restarted.
	KindKill Kind = "kill"
	// KindStop tells an entry VM's process to stop as planned; it is then restarted.
	KindStop Kind = "stop"
	// KindHangup signals an entry VM's process to reload its settings file.
	KindHangup Kind = "hangup"
	// KindRegistry makes the registry fail for all entry VMs.
	KindRegistry Kind = "registry"
	// KindCompact makes the registry discard its history.
	KindCompact Kind = "compact"
	// KindRegistryLink, KindPeerLink and KindEndpointLink disrupt the connections from one entry VM to the registry,
	// from the other entry VMs to one entry VM, and from all entry VMs to one endpoint.
	KindRegistryLink Kind = "registry link"
	KindPeerLink     Kind = "peer link"
	KindEndpointLink Kind = "endpoint link"
	// KindEndpoint makes an endpoint reject requests, fail, hang, or return incorrect responses.
	KindEndpoint Kind = "endpoint"
	// KindDrain drains an endpoint, deregisters it and registers it again.
	KindDrain Kind = "drain"
	// KindReuse gives an endpoint's address to an endpoint of another service.
	KindReuse Kind = "reuse"
	// KindTable publishes a new routing table.
	KindTable Kind = "table"
	// KindBurst multiplies the number of callers for a while.
	KindBurst Kind = "burst"
	// KindRestore lets the registry be away for a moment and come back from a copy.
	KindRestore Kind = "restore"
	// KindTurnAway makes an endpoint turn requests away with 503 and Retry-After for a while.
	KindTurnAway Kind = "turn away"
	// KindAnnounce makes an endpoint say in its replies, and nowhere else, that it is leaving. It then starts again.
	KindAnnounce Kind = "announce"
	// KindEvacuate evacuates a data centre with one of the two endpoints of each shard for a while.
	KindEvacuate Kind = "evacuate"
)

// kinds are the kinds of faults but those of planRestore, planReplies and planEvacuation, with the relative frequency at which each is drawn.
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
	// minDuration and maxDuration bound the duration of a fault. The longest faults outlast the time within which a VM
	// must apply a change.
	minDuration = 200 * time.Millisecond
	maxDuration = 3500 * time.Millisecond
	// seriesShare is the share of faults that are repeated as a series of up to maxSeriesLength faults of the same
	// kind. maxSeriesGap is the longest time between the starts of two of them. It is shorter than most faults, so that
	// they overlap.
	seriesShare     = 0.3
	maxSeriesLength = 4
	maxSeriesGap    = 900 * time.Millisecond
	// restoreShare is the share of runs in which the registry is restored from a copy.
	restoreShare = 0.4
	// maxReplyFaults is how many faults of KindTurnAway and of KindAnnounce a run has at most.
	maxReplyFaults = 3
	// evacuationShare is the share of runs in which a data centre is evacuated.
	evacuationShare = 0.5
)

// Fault is a planned fault of a run.
type Fault struct {
	// At is the start of the fault, from the start of the run, and For its duration.
	At  time.Duration
	For time.Duration
	// Target is the number of the affected VM or endpoint, modulo the number of them. Variant selects one of the ways
	// of failing, modulo the number of ways.
	Kind    Kind
	Target  int
	Variant int
}

// Plan draws the faults of a run from a seed, ordered by their start: about perSecond faults for each second of length,
// including those of series.
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
	all = append(all, planRestore(seed, length)...)
	all = append(all, planReplies(seed, length)...)
	all = append(all, planEvacuation(seed, length)...)
	slices.SortFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// planRestore draws whether and when the registry is restored. It has a random source of its own, so that a seed draws
// the same other faults as before there were restores.
func planRestore(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	if r.Float64() >= restoreShare {
		return nil
	}
	return []Fault{{
		At: drawDuration(r, 0, length), For: drawDuration(r, minDuration, maxDuration), Kind: KindRestore,
		Variant: r.IntN(1 << 16),
	}}
}

// planReplies draws what endpoints say in their replies, apart from the other faults for the same reason.
func planReplies(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var all []Fault
	for _, k := range []Kind{KindTurnAway, KindAnnounce} {
		for range r.IntN(maxReplyFaults + 1) {
			all = append(all, Fault{
				At: drawDuration(r, 0, length), For: drawDuration(r, minDuration, maxDuration), Kind: k,
				Target: r.IntN(1 << 16),
			})
		}
	}
	return all
}

// planEvacuation draws whether and when a data centre is evacuated, apart from the other faults too.
func planEvacuation(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	if r.Float64() >= evacuationShare {
		return nil
	}
	return []Fault{{
		At: drawDuration(r, 0, length), For: drawDuration(r, minDuration, maxDuration), Kind: KindEvacuate,
		Target: r.IntN(1 << 16),
	}}
}

// drawDuration draws a duration in [from, to).
func drawDuration(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// drawKind draws a kind of fault by its weight.
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
