package route

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
)

const (
	// checkPeriod is the time between two checks of the peers while calls are in flight or a peer is suspected.
	checkPeriod = 20 * time.Millisecond
	// idleCheckPeriod is the time between two checks while no call is in flight and no peer is suspected.
	idleCheckPeriod = time.Second
	// pingTimeout bounds the wait for the response to a ping.
	pingTimeout = time.Second
)

// peerState is the state of another entry VM in its role as an owner.
type peerState struct {
	trust   *ownership.Trust
	address unit.Address
	// trustedCtx is cancelled when the peer becomes suspected, and replaced when the peer responds again.
	trustedCtx    context.Context
	cancelTrusted context.CancelFunc
	pinging       bool
}

// peers holds the state of every entry VM that this VM has considered as an owner.
type peers struct {
	mu   sync.Mutex
	byID map[unit.NodeID]*peerState
	// idle is set while the checks run every idleCheckPeriod. A send on wake makes them run every checkPeriod again.
	idle bool
	wake chan struct{}
}

// tryIdle reports whether there is nothing to check: no call or ping is in flight and no peer is suspected. If so it
// sets idle, and the next call or connection failure wakes the checks up.
func (p *peers) tryIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		if !s.trust.Idle() || s.trust.Suspected() || s.pinging {
			return false
		}
	}
	p.idle = true
	return true
}

// wakeUp ends the idle state of the checks. The caller holds mu.
func (p *peers) wakeUp() {
	if !p.idle {
		return
	}
	p.idle = false
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// usable reports whether another call may be sent to the member. A member that has no state yet gets one and is
// trusted.
func (p *peers) usable(m member.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(m).trust.Usable()
}

// recordSent records that a call is sent to the member. The returned context is cancelled when the member becomes
// suspected.
func (p *peers) recordSent(now time.Time, m member.Member) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeUp()
	s := p.state(m)
	s.trust.RecordSent(now)
	return s.trustedCtx
}

// recordEnded records the end of a call; replied means that the reply arrived.
func (p *peers) recordEnded(now time.Time, m member.Member, replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(m)
	s.trust.RecordEnded()
	if replied {
		s.recordResponse(now, true)
	}
}

// recordConnectionFailure records a failed connection. It reports whether the member has become suspected by it.
func (p *peers) recordConnectionFailure(now time.Time, m member.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(m)
	if !s.trust.RecordConnectionFailure(now) {
		return false
	}
	p.wakeUp()
	s.cancelTrusted()
	return true
}

// state returns the state of a member and updates its address. The caller holds mu.
func (p *peers) state(m member.Member) *peerState {
	if p.byID == nil {
		p.byID = make(map[unit.NodeID]*peerState)
	}
	s := p.byID[m.ID]
	if s == nil {
		s = &peerState{trust: ownership.NewTrust()}
		s.trustedCtx, s.cancelTrusted = context.WithCancel(context.Background())
		p.byID[m.ID] = s
	}
	s.address = m.Peer
	return s
}

// recordResponse records a response of the peer. replied is true for the reply to a call and false for the reply to a
// ping. The caller holds the lock of peers.
func (s *peerState) recordResponse(now time.Time, replied bool) {
	wasSuspected := s.trust.Suspected()
	s.trust.RecordResponse(now, replied)
	if wasSuspected && !s.trust.Suspected() {
		s.trustedCtx, s.cancelTrusted = context.WithCancel(context.Background())
	}
}

// removeGone removes the peers that are no longer live members and have no call or ping in flight.
func (p *peers) removeGone(members []member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make(map[unit.NodeID]bool, len(members))
	for _, m := range members {
		live[m.ID] = m.State == member.StateLive
	}
	for id, s := range p.byID {
		if !live[id] && s.trust.Idle() && !s.pinging {
			s.cancelTrusted()
			delete(p.byID, id)
		}
	}
}

// check suspects the peers that have been silent for too long. It returns the peers to ping and the number of peers
// that have become suspected.
func (p *peers) check(now time.Time) (ping []*peerState, suspected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		if s.trust.CheckSilence(now) {
			s.cancelTrusted()
			suspected++
		}
		if !s.pinging && s.trust.NeedsProbe(now) {
			s.pinging = true
			ping = append(ping, s)
		}
	}
	return ping, suspected
}

// watchPeers checks the peers periodically and pings those that need a probe until the router closes. The counter
// route.suspected counts the peers that become suspected because of silence.
func (r *Router) watchPeers() {
	defer r.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.peers.wake:
			ticker.Reset(checkPeriod)
			continue
		case <-r.quit:
			return
		}
		r.peers.removeGone(r.Views.Load().Members)
		ping, suspected := r.peers.check(r.Now())
		r.Metrics.Add("route.suspected", int64(suspected))
		for _, s := range ping {
			r.wg.Add(1)
			go r.pingPeer(ctx, s)
		}
		if r.peers.tryIdle() {
			ticker.Reset(idleCheckPeriod)
		}
	}
}

// pingPeer sends one ping to a peer and records the response. A ping without a response changes nothing.
func (r *Router) pingPeer(ctx context.Context, s *peerState) {
	defer r.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r.peers.mu.Lock()
	address := s.address
	r.peers.mu.Unlock()
	err := r.CallPeer(ctx, address, methodPing, wirePing{}, nil)
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	s.pinging = false
	if err == nil {
		s.recordResponse(r.Now(), false)
	}
}
