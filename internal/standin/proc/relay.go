package proc

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// relayBufferSize is the maximum number of bytes that a relay forwards at a time.
const relayBufferSize = 16 << 10

// Relay forwards TCP connections to a target address and can delay, withhold or close them.
type Relay struct {
	listener net.Listener
	// wg counts the goroutines that accept and forward.
	wg sync.WaitGroup

	mu sync.Mutex
	// changed wakes goroutines that wait for a muted direction, after Heal or the end of a connection.
	changed *sync.Cond
	target  unit.Address
	cut     bool
	// muted are the directions in which bytes are withheld. delay is the latency added to each chunk.
	muted map[Direction]bool
	delay time.Duration
	conns map[net.Conn]bool
}

// Direction is a direction of bytes through a relay.
type Direction string

// The directions.
const (
	// Forward is from the side that connected to the target.
	Forward Direction = "forward"
	// Backward is from the target to the side that connected.
	Backward Direction = "backward"
)

// NewRelay starts a relay to an address. It is closed at the end of the test.
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

// close resets all connections and waits until the goroutines have ended.
func (r *Relay) close() {
	_ = r.listener.Close()
	r.Heal()
	r.Cut()
	r.wg.Wait()
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() unit.Address {
	return unit.Address(r.listener.Addr().String())
}

// SetTarget sets the target of new connections.
func (r *Relay) SetTarget(to unit.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = to
}

// Cut resets every connection and closes new ones at once, until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	r.resetLocked()
}

// Reset resets every connection. New connections are forwarded.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetLocked()
}

// resetLocked resets every connection. The caller holds mu.
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

// Mute withholds the bytes sent in one direction, on open and on new connections, until Heal.
func (r *Relay) Mute(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted[d] = true
}

// Delay delays each chunk of bytes by d, until Heal.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal ends the effects of Cut, Mute and Delay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.delay = false, 0
	clear(r.muted)
	r.changed.Broadcast()
}

// accept forwards each new connection until the listener is closed.
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

// forward connects to the target and copies bytes in both directions until either side closes.
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
	directions := []struct {
		to, from  net.Conn
		direction Direction
	}{{to, from, Forward}, {from, to, Backward}}
	r.wg.Add(len(directions))
	for _, d := range directions {
		go func() {
			defer r.wg.Done()
			r.copyDirection(d.to, d.from, d.direction)
			done <- struct{}{}
		}()
	}
	<-done
}

// copyDirection copies bytes in one direction until either side closes.
func (r *Relay) copyDirection(to, from net.Conn, direction Direction) {
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.waitUntilAllowed(from, direction) {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilAllowed waits while bytes in a direction are delayed or withheld. It reports whether the connection is still
// open.
func (r *Relay) waitUntilAllowed(c net.Conn, direction Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delay := r.delay; delay > 0 {
		r.mu.Unlock()
		time.Sleep(delay)
		r.mu.Lock()
	}
	for r.muted[direction] && r.conns[c] {
		r.changed.Wait()
	}
	return r.conns[c]
}

// track registers open connections. It returns false, and registers none, while the relay is cut.
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

// untrack removes connections that have ended.
func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
	r.changed.Broadcast()
}
