// Package fleet exchanges between entry VMs what the registry does not hold: the number of VMs and, for VMs that do
// not read the registry or cannot, the values that are published there.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/vmcount"
)

// censusSettleTime is the time after this VM's start from which a seed's count is taken to include most of the other
// VMs.
const censusSettleTime = 900 * time.Millisecond

// maxSeedOffset bounds the random number that selects the first seed that a VM follows.
const maxSeedOffset = 1 << 16

// callTimeout is the timeout of one call to a peer; a peer usually responds within milliseconds.
const callTimeout = 400 * time.Millisecond

// errLeaving is returned to VMs that follow this one once it is stopping.
var errLeaving = errors.New("this entry VM is stopping")

// errNothingNewer means that no seed returned newer values than this VM has.
var errNothingNewer = errors.New("no peer has newer values")

// The methods that entry VMs call on each other.
const (
	methodCensus  peer.Method = "census"
	methodListing peer.Method = "listing"
	methodChanges peer.Method = "changes"
)

// relayMinVMs is the number of entry VMs from which on only the seeds read the registry.
const relayMinVMs = 12

// CensusChanged is the event that the estimated number of entry VMs, the candidates for portions of requests, or
// CountKnown has changed.
type CensusChanged struct {
	VMs        int
	Candidates []divide.Candidate
	// CountKnown reports whether the other VMs have had the time to be counted, even if all have started at once.
	CountKnown bool
}

// Fleet is this VM's side of the exchange. The function fields are its seams.
type Fleet struct {
	// Self describes this VM to the seeds.
	Self divide.Candidate
	Now  func() time.Time
	Rand func() float64
	Log  *slog.Logger
	// Call calls a method of a peer and waits for its result.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// KnownValues returns the values under a prefix that this VM knows.
	KnownValues func(prefix registry.Prefix) registry.Listing
	// AwaitChanges waits until this VM learns of values under a prefix that are newer than a position, or until ctx
	// ends, and returns them.
	AwaitChanges func(ctx context.Context, prefix registry.Prefix, after registry.Cursor) registry.Update

	loop       *kernel.Loop
	census     *vmcount.Census
	candidates []divide.Candidate
	// known is the digest of candidates, for the calls to the seeds.
	known atomic.Uint64
	// listed are the candidates that this VM listed last as a seed, and listedDigest is their digest.
	listed       []divide.Candidate
	listedDigest uint64
	// started is when this VM started. countKnown is set once a seed's count includes more than the first callers.
	started    time.Time
	countKnown bool
	compressed compressionCache
	packed     packCache
	// seedList holds the seeds, which a reload of the settings replaces. large is set if at least relayMinVMs VMs
	// were counted. seedOffset selects the seed that this VM follows.
	seedList   atomic.Pointer[[]unit.Address]
	large      atomic.Bool
	seedOffset atomic.Uint64
	// leaving ends once this VM is stopping, and leave ends it.
	leaving context.Context
	leave   context.CancelFunc
}

// Install registers the handlers for peers with link and those for events with loop, which owns the census.
func (f *Fleet) Install(loop *kernel.Loop, link *peer.Link) {
	f.loop = loop
	f.started = f.Now()
	f.census = vmcount.New(f.started, f.Self.Node)
	f.Call = link.Call
	f.leaving, f.leave = context.WithCancel(context.Background())
	f.seedOffset.Store(uint64(f.Rand() * maxSeedOffset))
	kernel.On(loop, f.onCensusCall)
	kernel.On(loop, f.onCensusAnswers)
	peer.Handle(link, methodCensus, f.handleCensus)
	peer.Handle(link, methodListing, f.handleListing)
	peer.Handle(link, methodChanges, f.handleChanges)
}

// SetSeeds replaces the seeds. It must be called once before the exchange starts and may be called at any time.
func (f *Fleet) SetSeeds(seeds []unit.Address) {
	f.seedList.Store(&seeds)
}

// seeds returns the current seeds.
func (f *Fleet) seeds() []unit.Address {
	return *f.seedList.Load()
}

// Service returns the exchange as a service with that name.
func (f *Fleet) Service(name kernel.Name) kernel.Service {
	return kernel.Background(name, f, f.run)
}

// censusCall is the event that a VM has called this one. The result is sent to reply, which must be buffered.
type censusCall struct {
	caller divide.Candidate
	// known is the digest of the candidates that the caller has.
	known   uint64
	leaving bool
	reply   chan<- wireCensus
}

// censusAnswers is the event that a round of calls to the seeds has ended. The time to the next round is sent to
// reply, which must be buffered.
type censusAnswers struct {
	counts []wireCensus
	reply  chan<- time.Duration
}

// wireCensusCall is the request of methodCensus.
type wireCensusCall struct {
	wireVM
	// Known is the digest of the candidates that the caller has, 0 without any.
	Known uint64 `json:"known,omitempty"`
	// Leaving reports whether the VM is stopping.
	Leaving bool `json:"leaving,omitempty"`
}

// wireVM is an entry VM with the address at which peers call it and its share of a processor core.
type wireVM struct {
	Node    string  `json:"node"`
	Address string  `json:"address"`
	Centre  string  `json:"centre,omitempty"`
	Power   float64 `json:"power"`
}

// wireCensus is the response of methodCensus.
type wireCensus struct {
	Count int `json:"count"`
	// Settled reports whether all VMs have had the time to call.
	Settled bool `json:"settled"`
	// Candidates are the VMs that can serve portions of requests. They are left out, and Same is set, if the caller has
	// them.
	Candidates []wireVM `json:"mates,omitempty"`
	Same       bool     `json:"same,omitempty"`
}

// onCensusCall records a VM's call, or that it is stopping, and replies with the count and the candidates.
func (f *Fleet) onCensusCall(now time.Time, e censusCall) {
	if e.leaving {
		f.census.RemoveCaller(e.caller.Node)
	} else {
		f.census.RecordCall(now, e.caller)
	}
	n, settled := f.census.Count(now)
	result := wireCensus{Count: n, Settled: settled}
	candidates := f.census.Candidates(now)
	if !slices.Equal(candidates, f.listed) {
		f.listed, f.listedDigest = candidates, digest(candidates)
	}
	if result.Same = f.listedDigest == e.known; !result.Same {
		for _, m := range candidates {
			result.Candidates = append(result.Candidates, encodeVM(m))
		}
	}
	e.reply <- result
}

// onCensusAnswers updates the estimate from the seeds' counts, and the candidates from the longest list among the
// responses. It raises CensusChanged if anything has changed.
func (f *Fleet) onCensusAnswers(now time.Time, e censusAnswers) {
	before := f.census.Estimate()
	var candidates []divide.Candidate
	for _, c := range e.counts {
		f.census.RecordCount(now, c.Count, c.Settled)
		if c.Same && len(f.candidates) >= len(candidates) {
			candidates = f.candidates
		}
		if len(c.Candidates) > len(candidates) {
			candidates = decodeVMs(c.Candidates)
		}
	}
	after := f.census.Estimate()
	f.large.Store(f.census.Highest() >= relayMinVMs)
	if after != before {
		f.Log.Info("number of entry VMs changed", "from", before, "to", after)
	}
	if candidates == nil {
		candidates = f.candidates
	}
	countKnown := f.countKnown || (len(e.counts) > 0 && now.Sub(f.started) >= censusSettleTime)
	if after != before || countKnown != f.countKnown || !slices.Equal(candidates, f.candidates) {
		f.candidates, f.countKnown = candidates, countKnown
		f.known.Store(digest(candidates))
		f.loop.Raise(now, CensusChanged{VMs: after, Candidates: candidates, CountKnown: countKnown})
	}
	e.reply <- f.census.NextCallDelay(now)
}

func encodeVM(m divide.Candidate) wireVM {
	return wireVM{Node: string(m.Node), Address: string(m.Address), Centre: string(m.Centre), Power: float64(m.Power)}
}

func decodeVMs(all []wireVM) []divide.Candidate {
	vms := make([]divide.Candidate, 0, len(all))
	for _, w := range all {
		vms = append(vms, w.decode())
	}
	return vms
}

func (w wireVM) decode() divide.Candidate {
	return divide.Candidate{
		Node: unit.NodeID(w.Node), Address: unit.Address(w.Address), Centre: unit.CentreName(w.Centre),
		Power: unit.Cores(w.Power),
	}
}

// digest returns a hash of the candidates and their order, 0 without any.
func digest(all []divide.Candidate) uint64 {
	if len(all) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, c := range all {
		fmt.Fprintln(h, c.Node, c.Address, c.Centre, float64(c.Power))
	}
	return h.Sum64()
}

// handleCensus handles a census call of a VM; the control goroutine makes the response.
func (f *Fleet) handleCensus(ctx context.Context, w wireCensusCall) (wireCensus, error) {
	reply := make(chan wireCensus, 1)
	call := censusCall{caller: w.decode(), known: w.Known, leaving: w.Leaving, reply: reply}
	if err := kernel.Post(ctx, f.loop, call); err != nil {
		return wireCensus{}, err
	}
	select {
	case c := <-reply:
		return c, nil
	case <-ctx.Done():
		return wireCensus{}, ctx.Err()
	}
}

// Leave reports to the seeds that this VM is stopping, so that it gets no more portions of requests. VMs that follow
// this one are refused from then on and follow another.
func (f *Fleet) Leave(ctx context.Context) {
	f.leave()
	f.callSeeds(ctx)
}

// run calls the seeds periodically until ctx ends and posts their responses; the control goroutine returns the time to
// the next round.
func (f *Fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		reply := make(chan time.Duration, 1)
		if err := kernel.Post(ctx, f.loop, censusAnswers{counts: f.callSeeds(ctx), reply: reply}); err != nil {
			return
		}
		select {
		case period := <-reply:
			f.pauseWithJitter(ctx, period)
		case <-ctx.Done():
		}
	}
}

// callSeeds calls all seeds concurrently, so that one that does not respond does not delay the others, and returns
// the responses that it got.
func (f *Fleet) callSeeds(ctx context.Context) []wireCensus {
	seeds := f.seeds()
	answers := make(chan *wireCensus, len(seeds))
	for _, seed := range seeds {
		go func() {
			c, err := f.callSeed(ctx, seed)
			if err != nil {
				f.Log.Debug("no census response from seed", "seed", seed, "error", err)
				answers <- nil
				return
			}
			answers <- &c
		}()
	}
	var counts []wireCensus
	for range seeds {
		if c := <-answers; c != nil {
			counts = append(counts, *c)
		}
	}
	return counts
}

// callSeed makes a census call to one seed. The call also reports whether this VM is stopping.
func (f *Fleet) callSeed(ctx context.Context, seed unit.Address) (wireCensus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var c wireCensus
	call := wireCensusCall{
		wireVM: encodeVM(f.Self), Known: f.known.Load(), Leaving: f.leaving.Err() != nil,
	}
	err := f.Call(ctx, seed, methodCensus, call, &c)
	return c, err
}

// pauseWithJitter waits for 75 to 100% of d, so that the VMs do not all call at the same time.
func (f *Fleet) pauseWithJitter(ctx context.Context, d time.Duration) {
	kernel.Wait(ctx, time.Duration(float64(d)*(0.75+0.25*f.Rand())))
}
