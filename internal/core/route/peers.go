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
	// watchPeriod is the time between two looks at the peers with calls under way.
	watchPeriod = 20 * time.Millisecond
	// restPeriod is the time between two looks while no call is under way and no peer is suspected.
	restPeriod = time.Second
	// pingTime bounds the wait for a sign of life.
	pingTime = time.Second
)

// peerState is what this entry VM knows of another one as an owner.
type peerState struct {
	trust   *place.Trust
	address unit.Address
	// present ends when the peer becomes suspected, and is made anew when it answers again.
	present context.Context
	suspect context.CancelFunc
	pinging bool
}

// peers holds the state of every entry VM that calls went to.
type peers struct {
	mu   sync.Mutex
	byID map[unit.NodeID]*peerState
	// resting says that the looks come at restPeriod; wake ends that.
	resting bool
	wake    chan struct{}
}

// rest says whether there is nothing to watch; the next call or loss then ends the rest.
func (p *peers) rest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		if !s.trust.Idle() || s.trust.Suspected() || s.pinging {
			return false
		}
	}
	p.resting = true
	return true
}

// rouse ends the rest; the caller holds the lock.
func (p *peers) rouse() {
	if !p.resting {
		return
	}
	p.resting = false
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// usable says whether a further call may go to that member.
func (p *peers) usable(m member.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(m).trust.Usable()
}

// sent takes a call that is sent; the context ends once the peer is suspected.
func (p *peers) sent(now time.Time, m member.Member) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rouse()
	s := p.find(m)
	s.trust.RecordSent(now)
	return s.present
}

// ended takes the end of a call, with a reply or without.
func (p *peers) ended(now time.Time, m member.Member, replied bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(m)
	s.trust.RecordEnded()
	if replied {
		s.heard(now, true)
	}
}

// lost takes a connection that failed; it says true when the peer becomes suspected by it.
func (p *peers) lost(now time.Time, m member.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.find(m)
	if !s.trust.RecordConnectionFailure(now) {
		return false
	}
	p.rouse()
	s.suspect()
	return true
}

// find gives the state of a member at its present address.
func (p *peers) find(m member.Member) *peerState {
	if p.byID == nil {
		p.byID = make(map[unit.NodeID]*peerState)
	}
	s := p.byID[m.ID]
	if s == nil {
		s = &peerState{trust: place.NewTrust()}
		s.present, s.suspect = context.WithCancel(context.Background())
		p.byID[m.ID] = s
	}
	s.address = m.Peer
	return s
}

// heard takes a sign of life.
func (s *peerState) heard(now time.Time, replied bool) {
	was := s.trust.Suspected()
	s.trust.RecordResponse(now, replied)
	if was && !s.trust.Suspected() {
		s.present, s.suspect = context.WithCancel(context.Background())
	}
}

// forget drops the peers that are no longer live members and have no call under way.
func (p *peers) forget(members []member.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	live := make(map[unit.NodeID]bool, len(members))
	for _, m := range members {
		live[m.ID] = m.State == member.StateLive
	}
	for id, s := range p.byID {
		if !live[id] && s.trust.Idle() && !s.pinging {
			s.suspect()
			delete(p.byID, id)
		}
	}
}

// due gives the peers that are to be pinged, and how many have become suspected.
func (p *peers) due(now time.Time) (ping []*peerState, suspected int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byID {
		if s.trust.CheckSilence(now) {
			s.suspect()
			suspected++
		}
		if !s.pinging && s.trust.NeedsProbe(now) {
			s.pinging = true
			ping = append(ping, s)
		}
	}
	return ping, suspected
}

// watch looks for peers that have fallen silent, until the router closes.
func (r *Router) watch() {
	defer r.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.peers.wake:
			ticker.Reset(watchPeriod)
			continue
		case <-r.quit:
			return
		}
		r.peers.forget(r.Views.Load().Members)
		ping, suspected := r.peers.due(r.Now())
		r.Metrics.Add("route.suspected", int64(suspected))
		for _, s := range ping {
			r.wg.Add(1)
			go r.ping(ctx, s)
		}
		if r.peers.rest() {
			ticker.Reset(restPeriod)
		}
	}
}

// ping asks a peer for a sign of life.
func (r *Router) ping(ctx context.Context, s *peerState) {
	defer r.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, pingTime)
	defer cancel()
	r.peers.mu.Lock()
	address := s.address
	r.peers.mu.Unlock()
	err := r.Peer(ctx, address, methodPing, wirePing{}, nil)
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	s.pinging = false
	if err == nil {
		s.heard(r.Now(), false)
	}
}
