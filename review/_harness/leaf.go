package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// linkDelay is the time that each message takes between an entry VM and a leaf, as between the zones of lsgc-claims.
const linkDelay = 500 * time.Microsecond

// leaf is a stand-in for an endpoint of the pages: it runs slots requests at a time, queues a few more and rejects others
// with 503 and Basilspan-Not-Executed. The function fields are set before the first request.
type leaf struct {
	run     *run
	id      string
	service string
	slots   int
	queue   int
	// work returns how long a request takes to run.
	work func() time.Duration
	// copies reports whether a second copy of an answer is sent on its connection, late: where the next answer is expected.
	// nil means never.
	copies func(rejected bool) bool

	listener net.Listener
	slot     chan struct{}

	mu       sync.Mutex
	closed   bool
	sequence int
	accepted int
	conns    map[net.Conn]bool
	arrivals []arrival
}

// arrival is a request that a leaf has received.
type arrival struct {
	at   time.Time
	id   string
	line string
	// ran reports whether the leaf has run it.
	ran bool
}

// startLeaf starts a leaf and registers it.
func (r *run) startLeaf(l *leaf) *leaf {
	var err error
	l.run = r
	l.listener, err = net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l.slot = make(chan struct{}, l.slots)
	l.conns = make(map[net.Conn]bool)
	r.mu.Lock()
	r.leafs = append(r.leafs, l)
	r.mu.Unlock()
	go l.accept()
	l.register("ready")
	return l
}

// register writes the entry of the leaf to the store.
func (l *leaf) register(state string) {
	l.mu.Lock()
	l.sequence++
	value, err := json.Marshal(map[string]any{
		"service": l.service, "address": l.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": l.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": l.sequence,
	})
	l.mu.Unlock()
	check(err)
	l.run.store.Put("servers/"+l.id, string(value))
	l.run.note("entry of leaf %s acknowledged, %s", l.id, state)
}

// unregister removes the entry of the leaf from the store.
func (l *leaf) unregister() {
	l.run.store.Delete("servers/" + l.id)
	l.run.note("removal of the entry of leaf %s acknowledged", l.id)
}

// close stops the leaf.
func (l *leaf) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (l *leaf) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte
	for {
		line, err := peekLine(in)
		if err != nil {
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			l.note(arrival{at: time.Now(), line: line})
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		time.Sleep(linkDelay)
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			l.run.note("leaf %s sends a second copy of an earlier answer, late", l.id)
			late = nil
		}
		id := req.Header.Get("Basilspan-Request-Id")
		answer, ran := l.answer(id, line, req)
		time.Sleep(linkDelay)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if l.copies != nil && l.copies(!ran) {
			late = answer
		}
	}
}

// peekLine returns the request line that comes next.
func peekLine(in *bufio.Reader) (string, error) {
	for n := 1; ; n++ {
		b, err := in.Peek(n)
		if err != nil {
			return "", err
		}
		if b[n-1] == '\n' {
			return string(b[:max(0, n-2)]), nil
		}
	}
}

// answer runs a request, or rejects it, and returns the answer.
func (l *leaf) answer(id, line string, req *http.Request) (answer []byte, ran bool) {
	a := arrival{at: time.Now(), id: id, line: line}
	if expected := req.Header.Get("Basilspan-Expected-Instance"); expected != "" && expected != l.id {
		l.note(a)
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nBasilspan-Request-Id: %s\r\n"+
			"Basilspan-Not-Executed: 1\r\nBasilspan-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, l.id), false
	}
	l.mu.Lock()
	full := l.accepted >= l.slots+l.queue
	if !full {
		l.accepted++
	}
	load := fmt.Sprintf("%d,%d,%d", min(l.accepted, l.slots), max(0, l.accepted-l.slots), l.slots)
	l.mu.Unlock()
	if full {
		l.note(a)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nBasilspan-Request-Id: %s\r\n"+
			"Basilspan-Not-Executed: 1\r\nBasilspan-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", id, load), false
	}
	l.slot <- struct{}{}
	if a.ran = !l.hasEnded(); a.ran {
		l.note(a)
		time.Sleep(l.work())
	}
	<-l.slot
	l.mu.Lock()
	l.accepted--
	l.mu.Unlock()
	body := "answer of " + l.id + " to " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: %s\r\nBasilspan-Response-Seal: %s.%s\r\n"+
		"Basilspan-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s", id, l.id, id, load, len(body), body), a.ran
}

// hasEnded reports whether the leaf was stopped.
func (l *leaf) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// note records an arrival.
func (l *leaf) note(a arrival) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
	what := "rejects"
	if a.ran {
		what = "runs"
	}
	l.run.note("leaf %s %s %s: %s", l.id, what, a.id, a.line)
}

// received returns the requests that the leaf has received.
func (l *leaf) received() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}
