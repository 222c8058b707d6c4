// Package fleet has the entry VMs tell each other what the registry does not: how many they are, and, while a VM
// cannot read the registry, what is published there.
package fleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/census"
)

// callTime bounds one call of a peer, which answers in milliseconds.
const callTime = 400 * time.Millisecond

// errNoNews means that no peer knows more than this VM.
var errNoNews = errors.New("no peer has newer values")

// The methods that VMs answer each other.
const (
	methodCensus  peer.Method = "census"
	methodListing peer.Method = "listing"
)

// Counted is the event that the estimate of the number of entry VMs has changed.
type Counted struct {
	VMs int
}

// Fleet is this VM's part of the exchange. The function fields are its seams.
type Fleet struct {
	Node  unit.NodeID
	Seeds []unit.Address
	Now   func() time.Time
	Rand  func() float64
	Log   *slog.Logger
	// Call calls a method of a peer and waits for its result.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// Held gives what this VM knows under a prefix.
	Held func(prefix registry.Prefix) registry.Listing

	loop   *kernel.Loop
	census *census.Census
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Install has link answer peers, and loop own the census.
func (f *Fleet) Install(loop *kernel.Loop, link *peer.Link) {
	f.loop = loop
	f.census = census.New(f.Now(), f.Node)
	f.Call = link.Call
	kernel.On(loop, f.onCall)
	kernel.On(loop, f.onTold)
	peer.Handle(link, methodCensus, f.answerCensus)
	peer.Handle(link, methodListing, f.answerListing)
}

// Service gives the exchange as a service with that name.
func (f *Fleet) Service(name kernel.Name) kernel.Service {
	return kernel.Service{
		Name:  name,
		Value: f,
		Start: func(ctx context.Context) error {
			ctx, f.cancel = context.WithCancel(ctx)
			f.wg.Add(1)
			go f.run(ctx)
			return nil
		},
		Close: func() error {
			f.cancel()
			f.wg.Wait()
			return nil
		},
	}
}

// called is the event that a VM has called this one; the count goes to reply, which has room for it.
type called struct {
	node  unit.NodeID
	reply chan<- wireCount
}

// told is the event that a seed has told its count; the time to the next call goes to reply, which has room for it.
type told struct {
	counts []wireCount
	reply  chan<- time.Duration
}

// wireCall is a call of the census, and wireCount its result.
type wireCall struct {
	Node string `json:"node"`
}

type wireCount struct {
	Count int `json:"count"`
	// Settled says whether all VMs have had the time to call.
	Settled bool `json:"settled"`
}

func (f *Fleet) onCall(now time.Time, e called) {
	f.census.Heard(now, e.node)
	n, settled := f.census.Count(now)
	e.reply <- wireCount{Count: n, Settled: settled}
}

func (f *Fleet) onTold(now time.Time, e told) {
	before := f.census.Estimate()
	for _, c := range e.counts {
		if c.Settled {
			f.census.Told(now, c.Count)
		}
	}
	if after := f.census.Estimate(); after != before {
		f.Log.Info("number of entry VMs changed", "from", before, "to", after)
		f.loop.Raise(now, Counted{VMs: after})
	}
	e.reply <- f.census.Period()
}

func (f *Fleet) answerCensus(ctx context.Context, w wireCall) (wireCount, error) {
	reply := make(chan wireCount, 1)
	if err := kernel.Post(ctx, f.loop, called{node: unit.NodeID(w.Node), reply: reply}); err != nil {
		return wireCount{}, err
	}
	select {
	case c := <-reply:
		return c, nil
	case <-ctx.Done():
		return wireCount{}, ctx.Err()
	}
}

// run calls the seeds until ctx ends.
func (f *Fleet) run(ctx context.Context) {
	defer f.wg.Done()
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

// ask calls all seeds and gives the counts of those that answer.
func (f *Fleet) ask(ctx context.Context) []wireCount {
	var counts []wireCount
	for _, seed := range f.Seeds {
		c, err := f.askOne(ctx, seed)
		if err != nil {
			f.Log.Debug("seed does not answer", "seed", seed, "error", err)
			continue
		}
		counts = append(counts, c)
	}
	return counts
}

func (f *Fleet) askOne(ctx context.Context, seed unit.Address) (wireCount, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var c wireCount
	err := f.Call(ctx, seed, methodCensus, wireCall{Node: string(f.Node)}, &c)
	return c, err
}

// pause waits for about d, so that the VMs do not call all at once.
func (f *Fleet) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(time.Duration(float64(d) * (0.75 + 0.25*f.Rand())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
