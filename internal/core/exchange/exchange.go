// Package exchange lets the entry VMs exchange what they know: their heartbeats, which configuration they hold and
// which endpoints are leaving. A VM that learns of a newer configuration fetches it from the peer that reported it.
//
// The control goroutine owns all of this state. The service sends what that goroutine has published, and posts to it
// what the peers send. docs/PROTOCOLS.md describes the messages.
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
	// callTimeout bounds one heartbeat call, and so a round.
	callTimeout = 700 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration.
	fetchTimeout = 2 * time.Second
	// methodHeartbeat exchanges heartbeats, and methodConfig reads the configuration that a peer holds.
	methodHeartbeat peer.Method = "beat"
	methodConfig    peer.Method = "config"
)

// Config is the configuration that a VM holds, as it was published.
type Config struct {
	Version revision.Version
	Files   []folder.File
}

// State is what the VM sends to its peers. It is never changed once published.
type State struct {
	Records []member.Record
	Leaving []leaving.Sign
	Config  Config
	// Targets are the peers to call in the next round.
	Targets []unit.Address
}

// Heartbeat is the event that a peer has sent what it knows, in a call or as the answer to one.
type Heartbeat struct {
	// From is the address from which the peer's configuration can be fetched.
	From    unit.Address
	Records []member.Record
	Leaving []leaving.Sign
	Version revision.Version
}

// RoundEnded is the event that every target has answered or failed, or that the round has timed out.
type RoundEnded struct {
	Began    time.Time
	Targets  int
	Answered int
}

// FetchEnded is the event that the fetch of a configuration from a peer has ended. Files is nil if the fetch failed.
type FetchEnded struct {
	From     unit.Address
	Wanted   revision.Version
	Revision unit.Revision
	Files    []folder.File
}

// Service exchanges heartbeats with the peers. The function fields are its seams.
type Service struct {
	Now func() time.Time
	// Call calls a method of the peer at an address.
	Call func(ctx context.Context, to unit.Address, method peer.Method, params, result any) error
	// SelfAddress returns the address at which peers reach this VM.
	SelfAddress func() unit.Address

	loop    *kernel.Loop
	state   atomic.Pointer[State]
	trigger chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu sync.Mutex
	// inFlight holds the peers whose last call has not returned. A frozen peer may hold a call for long, and gets no
	// further one until then.
	inFlight map[unit.Address]bool
}

// New returns the service and registers its methods with the link.
func New(loop *kernel.Loop, link *peer.Link, now func() time.Time) *Service {
	s := &Service{
		Now:         now,
		Call:        link.Call,
		SelfAddress: link.Address,
		loop:        loop,
		trigger:     make(chan struct{}, 1),
		inFlight:    make(map[unit.Address]bool),
	}
	s.state.Store(&State{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	peer.Handle(link, methodHeartbeat, s.handleHeartbeat)
	peer.Handle(link, methodConfig, s.handleConfig)
	return s
}

// Service returns the exchange as a kernel service with that name.
func (s *Service) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: s, Start: s.start, Close: s.close}
}

// Publish replaces what is sent to the peers. Only the control goroutine calls it.
func (s *Service) Publish(state *State) {
	s.state.Store(state)
}

// TriggerRound makes the next round begin at once instead of after the heartbeat period. It does not block.
func (s *Service) TriggerRound() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Fetch reads the configuration that the peer at an address holds, in the background, and posts a FetchEnded event
// whether it succeeds or fails.
func (s *Service) Fetch(from unit.Address, wanted revision.Version) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		event := FetchEnded{From: from, Wanted: wanted}
		ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
		defer cancel()
		var response wireConfig
		if err := s.Call(ctx, from, methodConfig, wireFetch{Revision: uint64(wanted.Revision)}, &response); err == nil {
			event.Revision = unit.Revision(response.Revision)
			event.Files = decodeFiles(response.Files)
		}
		_ = kernel.Post(s.ctx, s.loop, event)
	}()
}

// start starts the rounds of heartbeats.
func (s *Service) start(context.Context) error {
	s.wg.Add(1)
	go s.run()
	return nil
}

// close cancels the calls in flight and waits for the round and the fetches to end.
func (s *Service) close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// run runs a round every member.HeartbeatPeriod, with 10 % of jitter either way, and whenever one is triggered.
func (s *Service) run() {
	defer s.wg.Done()
	for s.ctx.Err() == nil {
		s.runRound()
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

// runRound sends a heartbeat to all targets at once, waits for their answers for callTimeout at most, and posts a
// RoundEnded event. A target whose last call has not returned is skipped and counts as not answered.
func (s *Service) runRound() {
	state := s.state.Load()
	round := RoundEnded{Began: s.Now(), Targets: len(state.Targets)}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	heartbeat := encodeHeartbeat(s.SelfAddress(), state)
	answered := make(chan bool, len(state.Targets))
	for _, to := range state.Targets {
		if !s.beginCall(to) {
			answered <- false
			continue
		}
		go func() {
			defer s.endCall(to)
			answered <- s.sendHeartbeat(ctx, to, heartbeat)
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

// sendHeartbeat sends a heartbeat to one peer and posts the peer's own heartbeat from the answer. It reports whether
// both succeeded.
func (s *Service) sendHeartbeat(ctx context.Context, to unit.Address, heartbeat wireHeartbeat) bool {
	var answer wireHeartbeat
	if err := s.Call(ctx, to, methodHeartbeat, heartbeat, &answer); err != nil {
		return false
	}
	return kernel.Post(s.ctx, s.loop, decodeHeartbeat(to, answer)) == nil
}

// beginCall marks a peer as having a call in flight. It reports false if it has one already.
func (s *Service) beginCall(to unit.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[to] {
		return false
	}
	s.inFlight[to] = true
	return true
}

// endCall records that the call of beginCall has returned, so that the peer may be called again.
func (s *Service) endCall(to unit.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, to)
}

// handleHeartbeat posts the heartbeat of a peer that calls and answers with this VM's own.
func (s *Service) handleHeartbeat(ctx context.Context, heartbeat wireHeartbeat) (wireHeartbeat, error) {
	if err := kernel.Post(ctx, s.loop, decodeHeartbeat(unit.Address(heartbeat.From), heartbeat)); err != nil {
		return wireHeartbeat{}, errors.Wrap(err, "post the peer's heartbeat")
	}
	return encodeHeartbeat(s.SelfAddress(), s.state.Load()), nil
}

// handleConfig answers a peer with the configuration in force, regardless of the revision in its request.
func (s *Service) handleConfig(_ context.Context, _ wireFetch) (wireConfig, error) {
	config := s.state.Load().Config
	return wireConfig{Revision: uint64(config.Version.Revision), Files: encodeFiles(config.Files)}, nil
}
