package route

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/place"
)

const (
	// checkPeriod is the time between two looks at the peers with calls under way.
	checkPeriod = 20 * time.Millisecond
	// idleCheckPeriod is the time between two looks while no call is under way and no peer is suspected.
	idleCheckPeriod = time.Second
	// pingTimeout bounds the wait for a sign of life.
	pingTimeout = time.Second
)

// peerState is what this entry VM knows of another one as an owner.
type peerState struct {
	trust   *place.Trust
	address unit.Address
	// trustedCtx ends when the peer becomes suspected, and is made anew when it answers again.
	trustedCtx    context.Context
	cancelTrusted context.CancelFunc
	pinging       bool
}

// peers holds the state of every entry VM that calls went to.
type peers struct {
	mu   sync.Mutex
	byID map[unit.NodeID]*peerState
	// idle says that the looks come at restPeriod; wake ends that.
	idle bool
	wake chan struct{}
}

// tryIdle says whether there is nothing to watch; the next call or loss then ends the rest.
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

// wakeUp ends the rest; the caller holds the lock.
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

// usable says whether a further call may go to that member.
func (p *peers) usable(m member.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(m).trust.Usable()
}

// recordSent takes a call that is sent; the context ends once the peer is suspected.
func (p *peers) recordSent(now time.Time, m member.Member) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeUp()
	s := p.state(m)
	s.trust.RecordSent(now)
	return s.trustedCtx
}

// recordEnded takes the end of a call, with a reply or without.
func (p *peers) recordEnded(now time.Time, m member.Member, replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(m)
	s.trust.RecordEnded()
	if replied {
		s.recordResponse(now, true)
	}
}

// recordConnectionFailure takes a connection that failed; it says true when the peer becomes suspected by it.
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

// state gives the state of a member at its present address.
func (p *peers) state(m member.Member) *peerState {
	if p.byID == nil {
		p.byID = make(map[unit.NodeID]*peerState)
	}
	s := p.byID[m.ID]
	if s == nil {
		s = &peerState{trust: place.NewTrust()}
		s.trustedCtx, s.cancelTrusted = context.WithCancel(context.Background())
		p.byID[m.ID] = s
	}
	s.address = m.Peer
	return s
}

// recordResponse takes a sign of life.
func (s *peerState) recordResponse(now time.Time, replied bool) {
	wasSuspected := s.trust.Suspected()
	s.trust.RecordResponse(now, replied)
	if wasSuspected && !s.trust.Suspected() {
		s.trustedCtx, s.cancelTrusted = context.WithCancel(context.Background())
	}
}

// removeGone drops the peers that are no longer live members and have no call under way.
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

// check gives the peers that are to be pinged, and how many have become suspected.
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

// watchPeers looks for peers that have fallen silent, until the router closes.
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

// pingPeer asks a peer for a sign of life.
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
