// Package exchange has the entry VMs tell each other what they know: their heartbeats, which configuration they hold
// and which endpoints are leaving. A VM that hears of a newer configuration fetches it from whoever told it.
//
// The control goroutine owns all of this; the service sends what that goroutine has published and posts what comes in
// to it. docs/PROTOCOLS.md describes the messages.
package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
)

const (
	// callTime bounds one call of a peer, and so a round.
	callTime = 700 * time.Millisecond
	// fetchTime bounds the fetch of a configuration.
	fetchTime = 2 * time.Second
	// methodBeat swaps heartbeats, and methodConfig reads the configuration that a peer holds.
	methodBeat   peer.Method = "beat"
	methodConfig peer.Method = "config"
)

// Config is the configuration that a VM holds, as it was published.
type Config struct {
	Version revision.Version
	Files   []folder.File
}

// State is what the VM tells its peers; it is never changed once published.
type State struct {
	Records []member.Record
	Leaving []leaving.Sign
	Config  Config
	// Targets are the peers to tell in the next round.
	Targets []unit.Address
}

// Heartbeat is the event that a peer has told what it knows.
type Heartbeat struct {
	// From is the address to fetch from.
	From    unit.Address
	Records []member.Record
	Leaving []leaving.Sign
	Version revision.Version
}

// RoundEnded is the event that every target has been told, or has not answered in time.
type RoundEnded struct {
	Began    time.Time
	Targets  int
	Answered int
}

// FetchEnded is the event that a fetch from a peer has ended; Files are nil when it failed.
type FetchEnded struct {
	From     unit.Address
	Wanted   revision.Version
	Revision unit.Revision
	Files    []folder.File
}

// Service tells the peers. The function fields are its seams.
type Service struct {
	Now func() time.Time
	// Call calls a method of the peer at an address.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// SelfAddress gives the address that peers reach this VM at.
	SelfAddress func() unit.Address

	loop    *kernel.Loop
	state   atomic.Pointer[State]
	trigger chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex
	// busy are the peers whose last call has not returned; a frozen peer may hold a call for long.
	busy map[unit.Address]bool
}

// New makes the service and adds its methods to the link.
func New(loop *kernel.Loop, link *peer.Link, now func() time.Time) *Service {
	s := &Service{
		Now:         now,
		Call:        link.Call,
		SelfAddress: link.Address,
		loop:        loop,
		trigger:     make(chan struct{}, 1),
		busy:        make(map[unit.Address]bool),
	}
	s.state.Store(&State{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	peer.Handle(link, methodBeat, s.answerBeat)
	peer.Handle(link, methodConfig, s.answerConfig)
	return s
}

// Service gives it as a service with that name.
func (s *Service) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: s, Start: s.start, Close: s.close}
}

// Publish replaces what the peers are told; only the control goroutine calls it.
func (s *Service) Publish(state *State) {
	s.state.Store(state)
}

// TriggerRound has the next round begin at once.
func (s *Service) TriggerRound() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Fetch reads the configuration that the peer at that address holds and posts an Offer in any case.
func (s *Service) Fetch(from unit.Address, wanted revision.Version) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		offer := FetchEnded{From: from, Wanted: wanted}
		ctx, cancel := context.WithTimeout(s.ctx, fetchTime)
		defer cancel()
		var answer wireConfig
		if err := s.Call(ctx, from, methodConfig, wireWanted{Revision: uint64(wanted.Revision)}, &answer); err == nil {
			offer.Revision = unit.Revision(answer.Revision)
			offer.Files = decodeFiles(answer.Files)
		}
		_ = kernel.Post(s.ctx, s.loop, offer)
	}()
}

func (s *Service) start(context.Context) error {
	s.wg.Add(1)
	go s.run()
	return nil
}

func (s *Service) close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// run holds a round every BeatPeriod, a little more or less, and at each nudge.
func (s *Service) run() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		s.round()
		jitter := time.Duration(rand.Int64N(int64(member.HeartbeatPeriod / 5)))
		timer := time.NewTimer(member.HeartbeatPeriod - member.HeartbeatPeriod/10 + jitter)
		select {
		case <-timer.C:
		case <-s.trigger:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// round tells every target at once and waits for their answers, at most callTime.
func (s *Service) round() {
	state := s.state.Load()
	round := RoundEnded{Began: s.Now(), Targets: len(state.Targets)}
	ctx, cancel := context.WithTimeout(s.ctx, callTime)
	defer cancel()
	beat := encodeBeat(s.SelfAddress(), state)
	answered := make(chan bool, len(state.Targets))
	for _, to := range state.Targets {
		if !s.claim(to) {
			answered <- false
			continue
		}
		go func() {
			defer s.release(to)
			answered <- s.tell(ctx, to, beat)
		}()
	}
	for range state.Targets {
		select {
		case ok := <-answered:
			if ok {
				round.Answered++
			}
		case <-ctx.Done():
		}
	}
	_ = kernel.Post(s.ctx, s.loop, round)
}

// tell swaps heartbeats with one peer.
func (s *Service) tell(ctx context.Context, to unit.Address, beat wireBeat) bool {
	var answer wireBeat
	if err := s.Call(ctx, to, methodBeat, beat, &answer); err != nil {
		return false
	}
	return kernel.Post(s.ctx, s.loop, decodeBeat(to, answer)) == nil
}

func (s *Service) claim(to unit.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[to] {
		return false
	}
	s.busy[to] = true
	return true
}

func (s *Service) release(to unit.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, to)
}

// answerBeat takes a peer's heartbeat and answers with the own one.
func (s *Service) answerBeat(ctx context.Context, beat wireBeat) (wireBeat, error) {
	if err := kernel.Post(ctx, s.loop, decodeBeat(unit.Address(beat.From), beat)); err != nil {
		return wireBeat{}, errors.Wrap(err, "take a heartbeat")
	}
	return encodeBeat(s.SelfAddress(), s.state.Load()), nil
}

// answerConfig gives the configuration in force.
func (s *Service) answerConfig(_ context.Context, _ wireWanted) (wireConfig, error) {
	held := s.state.Load().Config
	return wireConfig{Revision: uint64(held.Version.Revision), Files: encodeFiles(held.Files)}, nil
}
