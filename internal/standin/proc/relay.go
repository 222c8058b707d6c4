package proc

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// Relay passes TCP connections on to an address until it is cut.
type Relay struct {
	to       unit.Address
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewRelay starts a relay; it is closed at the end of the test.
func NewRelay(t testing.TB, to unit.Address) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &Relay{to: to, listener: listener, conns: make(map[net.Conn]bool)}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.Cut()
	})
	return r
}

// Address gives the address that stands for the other one.
func (r *Relay) Address() unit.Address {
	return unit.Address(r.listener.Addr().String())
}

// Cut ends every connection and refuses further ones, until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		_ = c.Close()
	}
	r.conns = make(map[net.Conn]bool)
}

// Heal lets connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass copies both ways until either side ends.
func (r *Relay) pass(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", string(r.to))
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	if !r.add(from, to) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

func (r *Relay) add(conns ...net.Conn) bool {
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
