package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request that a leaf has received.
type call struct {
	leaf *leaf
	conn net.Conn
	// method and target are those of the request line, as they came.
	method, target string
	header         textproto.MIMEHeader
	id             string
	body           []byte
	at             time.Time
}

// readCall reads one request, with whatever its request line holds.
func readCall(r *bufio.Reader) (*call, error) {
	t := textproto.NewReader(r)
	line, err := t.ReadLine()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, _, ok := strings.Cut(rest, " HTTP/1.")
	if !ok {
		return nil, fmt.Errorf("malformed request line %q", line)
	}
	k := &call{method: method, target: target}
	if k.header, err = t.ReadMIMEHeader(); err != nil {
		return nil, err
	}
	n, _ := strconv.Atoi(k.header.Get("Content-Length"))
	k.body = make([]byte, n)
	_, err = io.ReadFull(r, k.body)
	k.id, k.at = k.header.Get("Basilspan-Request-Id"), time.Now()
	return k, err
}

// leaf is one server of a service. It runs each request that is meant for it and echoes its id.
type leaf struct {
	w       *world
	id      string
	service string
	l       net.Listener
	// onCall answers a request that is meant for the leaf and returns whether the connection stays open. nil answers at
	// once with text.
	onCall func(c *call) (keep bool)
	text   string
	// quiet leaves its runs out of the record.
	quiet bool
	// at is the address that it registers, if it is not its own.
	at string

	mu   sync.Mutex
	runs []*call
	// sequence is the number of its registrations.
	sequence int
	born     int64
	conns    map[net.Conn]bool
}

func (w *world) newLeaf(service, id string) *leaf {
	l, err := net.Listen("tcp", "127.0.30.1:0")
	must(err)
	s := &leaf{w: w, id: id, service: service, l: l, text: "text of " + id, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	go s.serve()
	w.ends = append(w.ends, func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			_ = c.Close()
		}
	})
	return s
}

// address is where the leaf is reached.
func (s *leaf) address() string {
	if s.at != "" {
		return s.at
	}
	return s.l.Addr().String()
}

// register writes the leaf's entry to the store and returns when that was acknowledged.
func (s *leaf) register(state string) time.Time {
	s.mu.Lock()
	s.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":2,"state":%q,`+
		`"cold_remaining_ms":0,"sequence":%d,"born":%d}`, s.service, s.address(), state, s.sequence, s.born)
	s.mu.Unlock()
	s.w.store.Put("servers/"+s.id, value)
	s.w.rec.printf("store acknowledges leaf %s of %s as %s", s.id, s.service, state)
	return time.Now()
}

func (s *leaf) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
			s.serveConn(c)
		}()
	}
}

func (s *leaf) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		k, err := readCall(r)
		if err != nil {
			return
		}
		k.leaf, k.conn = s, c
		if to := k.header.Get("Basilspan-Expected-Instance"); to != "" && to != s.id {
			s.w.rec.printf("leaf %s answers 421 to %s, which is for %s", s.id, k.id, to)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBasilspan-Request-Id: %s\r\nBasilspan-Instance-Id: %s\r\n"+
				"Content-Length: 0\r\n\r\n", k.id, s.id)
			continue
		}
		s.mu.Lock()
		if !s.quiet {
			s.runs = append(s.runs, k)
		}
		s.mu.Unlock()
		s.print("leaf %s runs %s %s %s, %d bytes", s.id, k.id, k.method, k.target, len(k.body))
		if s.onCall == nil {
			if k.reply(200, s.text) != nil {
				return
			}
			continue
		}
		if !s.onCall(k) {
			return
		}
	}
}

// reply sends a whole answer.
func (k *call) reply(status int, text string) error {
	_, err := fmt.Fprintf(k.conn, "HTTP/1.1 %d %s\r\nBasilspan-Request-Id: %s\r\nBasilspan-Response-Seal: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", status, http.StatusText(status), k.id, k.seal(), len(text), text)
	return err
}

// seal is the leaf's signature of its answer to the request.
func (k *call) seal() string { return k.leaf.id + "." + k.id }

// runsOf returns the runs of a request.
func (s *leaf) runsOf(id string) []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*call
	for _, k := range s.runs {
		if k.id == id {
			all = append(all, k)
		}
	}
	return all
}

func (s *leaf) print(format string, args ...any) {
	if !s.quiet {
		s.w.rec.printf(format, args...)
	}
}
