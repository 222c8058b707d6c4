package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes TCP connections on to an address.
type proxy struct {
	l  net.Listener
	to string
	// onInput is called with what comes from the side that connected, and onOutput with what goes back.
	onInput, onOutput func(c *pair, b []byte)

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection through a proxy.
type pair struct {
	in, out net.Conn
	mu      sync.Mutex
	// cut ends the connection unless it is stopped.
	cut *time.Timer
}

func (w *world) newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.40.1:0")
	must(err)
	p := &proxy{l: l, to: to, pairs: make(map[*pair]bool)}
	go p.serve()
	w.ends = append(w.ends, func() {
		_ = l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.pairs {
			_ = c.in.Close()
			_ = c.out.Close()
		}
	})
	return p
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		c := &pair{in: in, out: out}
		p.mu.Lock()
		p.pairs[c] = true
		p.mu.Unlock()
		go p.pass(c, in, out, p.onInput)
		go p.pass(c, out, in, p.onOutput)
	}
}

// pass passes bytes in one direction.
func (p *proxy) pass(c *pair, from, to net.Conn, onBytes func(*pair, []byte)) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if onBytes != nil {
				onBytes(c, b[:n])
			}
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// cutAfter closes the connection after d, unless keep is called before.
func (p *pair) cutAfter(d time.Duration, onCut func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = time.AfterFunc(d, func() {
		onCut()
		_ = p.in.Close()
		_ = p.out.Close()
	})
}

func (p *pair) keep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil {
		p.cut.Stop()
	}
}
