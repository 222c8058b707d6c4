// Package fleet has the entry VMs tell each other what the registry does not: how many they are, and, while a VM
// cannot read the registry, what is published there.
package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/census"
	"basilspan/internal/policy/divide"
)

// knownAfter is how long after its start a VM takes the seeds to know most of the others.
const knownAfter = 900 * time.Millisecond

// maxTurn bounds the draw of the first seed that a VM follows.
const maxTurn = 1 << 16

// callTime bounds one call of a peer, which answers in milliseconds.
const callTime = 400 * time.Millisecond

// errLeaving means that this VM is stopping and tells no changes any more.
var errLeaving = errors.New("this entry VM is stopping")

// errNoNews means that no peer knows more than this VM.
var errNoNews = errors.New("no peer has newer values")

// The methods that VMs answer each other.
const (
	methodCensus  peer.Method = "census"
	methodListing peer.Method = "listing"
	methodChanges peer.Method = "changes"
)

// relayFrom is the number of entry VMs from which on only the seeds read the registry.
const relayFrom = 12

// Counted is the event that the estimate of the number of entry VMs, or the VMs that share requests, have changed.
type Counted struct {
	VMs   int
	Mates []divide.Candidate
	// Known says that the other VMs have had the time to be counted, also when all have started at once.
	Known bool
}

// Fleet is this VM's part of the exchange. The function fields are its seams.
type Fleet struct {
	// Self is this VM as the seeds are told of it.
	Self census.Caller
	Now  func() time.Time
	Rand func() float64
	Log  *slog.Logger
	// Call calls a method of a peer and waits for its result.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// Held gives what this VM knows under a prefix.
	Held func(prefix registry.Prefix) registry.Listing
	// Changes gives what this VM learns under a prefix that is newer than a revision, until ctx ends.
	Changes func(ctx context.Context, prefix registry.Prefix, after unit.Revision) registry.News

	loop   *kernel.Loop
	census *census.Census
	mates  []divide.Candidate
	// began is when this VM started, and known says that what the seeds tell is more than the first callers.
	began time.Time
	known bool
	packs packs
	// list holds the seeds, which a reload changes; large says that there are many VMs, and turn chooses the seed to
	// follow.
	list  atomic.Pointer[[]unit.Address]
	large atomic.Bool
	turn  atomic.Uint64
	// leaving ends once this VM is stopping, and leave ends it.
	leaving context.Context
	leave   context.CancelFunc
}

// Install has link answer peers, and loop own the census.
func (f *Fleet) Install(loop *kernel.Loop, link *peer.Link) {
	f.loop = loop
	f.began = f.Now()
	f.census = census.New(f.began, f.Self.Node)
	f.Call = link.Call
	f.leaving, f.leave = context.WithCancel(context.Background())
	f.turn.Store(uint64(f.Rand() * maxTurn))
	kernel.On(loop, f.onCall)
	kernel.On(loop, f.onTold)
	peer.Handle(link, methodCensus, f.answerCensus)
	peer.Handle(link, methodListing, f.answerListing)
	peer.Handle(link, methodChanges, f.answerChanges)
}

// SetSeeds changes the seeds. They are to be set once before the exchange starts, and may change at any time.
func (f *Fleet) SetSeeds(seeds []unit.Address) {
	f.list.Store(&seeds)
}

func (f *Fleet) seeds() []unit.Address {
	return *f.list.Load()
}

// Service gives the exchange as a service with that name.
func (f *Fleet) Service(name kernel.Name) kernel.Service {
	return kernel.Background(name, f, f.run)
}

// called is the event that a VM has called this one; the result goes to reply, which has room for it.
type called struct {
	caller  census.Caller
	leaving bool
	reply   chan<- wireCount
}

// told is the event that seeds have answered; the time to the next call goes to reply, which has room for it.
type told struct {
	counts []wireCount
	reply  chan<- time.Duration
}

// wireCall is a call of the census.
type wireCall struct {
	wireMate
	Centre string `json:"centre"`
	// Leaving says that the VM is stopping.
	Leaving bool `json:"leaving,omitempty"`
}

// wireMate is an entry VM with the address that peers reach it at and its share of a processor core.
type wireMate struct {
	Node    string  `json:"node"`
	Address string  `json:"address"`
	Power   float64 `json:"power"`
}

// wireCount is the result.
type wireCount struct {
	Count int `json:"count"`
	// Settled says whether all VMs have had the time to call.
	Settled bool `json:"settled"`
	// Mates are the VMs that the caller shares requests with.
	Mates []wireMate `json:"mates,omitempty"`
}

func (f *Fleet) onCall(now time.Time, e called) {
	if e.leaving {
		f.census.Left(e.caller.Node)
	} else {
		f.census.Heard(now, e.caller)
	}
	n, settled := f.census.Count(now)
	result := wireCount{Count: n, Settled: settled}
	for _, m := range f.census.Mates(e.caller) {
		result.Mates = append(result.Mates, encodeMate(m))
	}
	e.reply <- result
}

func (f *Fleet) onTold(now time.Time, e told) {
	before := f.census.Estimate()
	var mates []divide.Candidate
	for _, c := range e.counts {
		f.census.Told(now, c.Count, c.Settled)
		if len(c.Mates) > len(mates) {
			mates = decodeMates(c.Mates)
		}
	}
	after := f.census.Estimate()
	f.large.Store(f.census.Highest() >= relayFrom)
	if after != before {
		f.Log.Info("number of entry VMs changed", "from", before, "to", after)
	}
	if mates == nil {
		mates = f.mates
	}
	known := f.known || (len(e.counts) > 0 && now.Sub(f.began) >= knownAfter)
	if after != before || known != f.known || !slices.Equal(mates, f.mates) {
		f.mates, f.known = mates, known
		f.loop.Raise(now, Counted{VMs: after, Mates: mates, Known: known})
	}
	e.reply <- f.census.Pause(now)
}

func encodeMate(m divide.Candidate) wireMate {
	return wireMate{Node: string(m.Node), Address: string(m.Address), Power: float64(m.Power)}
}

func decodeMates(all []wireMate) []divide.Candidate {
	mates := make([]divide.Candidate, 0, len(all))
	for _, w := range all {
		mates = append(mates, w.decode())
	}
	return mates
}

func (w wireMate) decode() divide.Candidate {
	return divide.Candidate{Node: unit.NodeID(w.Node), Address: unit.Address(w.Address), Power: unit.Cores(w.Power)}
}

func (f *Fleet) answerCensus(ctx context.Context, w wireCall) (wireCount, error) {
	caller := census.Caller{Candidate: w.decode(), Centre: unit.CentreName(w.Centre)}
	reply := make(chan wireCount, 1)
	if err := kernel.Post(ctx, f.loop, called{caller: caller, leaving: w.Leaving, reply: reply}); err != nil {
		return wireCount{}, err
	}
	select {
	case c := <-reply:
		return c, nil
	case <-ctx.Done():
		return wireCount{}, ctx.Err()
	}
}

// Leave tells the seeds that this VM is stopping, so that it gets no more portions of requests, and has the VMs that follow
// this one go on to another.
func (f *Fleet) Leave(ctx context.Context) {
	f.leave()
	f.ask(ctx)
}

// run calls the seeds until ctx ends.
func (f *Fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		reply := make(chan time.Duration, 1)
		if err := kernel.Post(ctx, f.loop, told{counts: f.ask(ctx), reply: reply}); err != nil {
			return
		}
		select {
		case period := <-reply:
			f.pause(ctx, period)
		case <-ctx.Done():
		}
	}
}

// ask calls all seeds at once, so that one that is lost does not delay the others' answers, and gives the counts of those
// that answer.
func (f *Fleet) ask(ctx context.Context) []wireCount {
	seeds := f.seeds()
	answers := make(chan *wireCount, len(seeds))
	for _, seed := range seeds {
		go func() {
			c, err := f.askOne(ctx, seed)
			if err != nil {
				f.Log.Debug("seed does not answer", "seed", seed, "error", err)
				answers <- nil
				return
			}
			answers <- &c
		}()
	}
	var counts []wireCount
	for range seeds {
		if c := <-answers; c != nil {
			counts = append(counts, *c)
		}
	}
	return counts
}

func (f *Fleet) askOne(ctx context.Context, seed unit.Address) (wireCount, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var c wireCount
	call := wireCall{wireMate: encodeMate(f.Self.Candidate), Centre: string(f.Self.Centre), Leaving: f.leaving.Err() != nil}
	err := f.Call(ctx, seed, methodCensus, call, &c)
	return c, err
}

// pause waits for about d, so that the VMs do not call all at once.
func (f *Fleet) pause(ctx context.Context, d time.Duration) {
	kernel.Wait(ctx, time.Duration(float64(d)*(0.75+0.25*f.Rand())))
}
