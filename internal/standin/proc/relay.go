package proc

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// relayBufferSize is how many bytes a relay passes on at a time.
const relayBufferSize = 16 << 10

// Relay passes TCP connections on to an address, and delays, silences or cuts them on demand.
type Relay struct {
	listener net.Listener
	// wg counts the goroutines that pass bytes.
	wg sync.WaitGroup

	mu sync.Mutex
	// changed tells the goroutines that wait for a silence to end.
	changed *sync.Cond
	target  unit.Address
	cut     bool
	// muted are the directions in which bytes are held back, and delay is how long each chunk is.
	muted map[Direction]bool
	delay time.Duration
	conns map[net.Conn]bool
}

// Direction is a way through a relay.
type Direction string

// The directions.
const (
	// Forward is from whoever has connected to the relay's target.
	Forward Direction = "forward"
	// Backward is from the target.
	Backward Direction = "backward"
)

// NewRelay starts a relay; it is closed at the end of the test.
func NewRelay(t testing.TB, to unit.Address) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &Relay{target: to, listener: listener, muted: make(map[Direction]bool), conns: make(map[net.Conn]bool)}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.Heal()
	r.Cut()
	r.wg.Wait()
}

// Address gives the address that stands for the other one.
func (r *Relay) Address() unit.Address {
	return unit.Address(r.listener.Addr().String())
}

// SetTarget has further connections go to another address.
func (r *Relay) SetTarget(to unit.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = to
}

// Cut ends every connection and refuses further ones, until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	r.resetLocked()
}

// Reset resets every connection; further ones are passed on.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetLocked()
}

func (r *Relay) resetLocked() {
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.conns = make(map[net.Conn]bool)
	r.changed.Broadcast()
}

// Mute holds back what is sent in that direction, on open and on new connections, until Heal.
func (r *Relay) Mute(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted[d] = true
}

// Delay holds back each chunk for that long, until Heal.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal lets everything through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.delay = false, 0
	clear(r.muted)
	r.changed.Broadcast()
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.forward(c)
	}
}

// forward copies both ways until either side ends.
func (r *Relay) forward(from net.Conn) {
	defer r.wg.Done()
	defer func() { _ = from.Close() }()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	to, err := net.Dial("tcp", string(target))
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if !r.track(from, to) {
		return
	}
	defer r.untrack(from, to)
	done := make(chan struct{}, 2)
	ways := []struct {
		to, from net.Conn
		way      Direction
	}{{to, from, Forward}, {from, to, Backward}}
	r.wg.Add(len(ways))
	for _, w := range ways {
		go func() {
			defer r.wg.Done()
			r.copyDirection(w.to, w.from, w.way)
			done <- struct{}{}
		}()
	}
	<-done
}

// copyDirection passes bytes on in one direction until either side ends.
func (r *Relay) copyDirection(to, from net.Conn, way Direction) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.waitUntilAllowed(from, way) {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilAllowed waits for as long as bytes are held back; it says false when their connection has ended meanwhile.
func (r *Relay) waitUntilAllowed(c net.Conn, way Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delay := r.delay; delay > 0 {
		r.mu.Unlock()
		time.Sleep(delay)
		r.mu.Lock()
	}
	for r.muted[way] && r.conns[c] {
		r.changed.Wait()
	}
	return r.conns[c]
}

func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
	r.changed.Broadcast()
}
