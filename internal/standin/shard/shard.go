// Package shard is a stand-in of the platform's endpoints: it answers calls with records and a signature, and misbehaves
// on demand.
package shard

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Mode is how an endpoint treats a call.
type Mode string

// The modes.
const (
	// ModeServe answers with the endpoint's body.
	ModeServe Mode = "serve"
	// ModeReject says that the call has not run.
	ModeReject Mode = "reject"
	// ModeDrop runs the call and resets the connection.
	ModeDrop Mode = "lose"
	// ModeFail runs the call and answers 500.
	ModeFail Mode = "fail"
	// ModeBusy runs the call and answers 503 without saying that it has not run.
	ModeBusy Mode = "busy"
	// ModeHang runs the call until its caller leaves.
	ModeHang Mode = "hang"
	// ModeEncode answers with a body in an encoding.
	ModeEncode Mode = "encode"
	// ModeUnsigned answers without a signature.
	ModeUnsigned Mode = "unsigned"
	// ModeAbsent answers 404, as an endpoint may to a request that it knows nothing of.
	ModeAbsent Mode = "absent"
)

// Run is one call that an endpoint has run.
type Run struct {
	// At is when the call had come whole.
	At     time.Time
	ID     string
	Method string
	URI    string
	Body   string
	// RemainingMS is what the call says of the time that is left, in milliseconds as it was sent.
	RemainingMS string
	// CallerDone is closed once the caller has left or has its answer.
	CallerDone <-chan struct{}
}

// Endpoint is one endpoint that listens on loopback.
type Endpoint struct {
	ID      string
	Service string
	// Delay is how long a call takes.
	Delay time.Duration
	// Body is what is answered.
	Body string

	server *httptest.Server
	quit   chan struct{}

	mu   sync.Mutex
	mode Mode
	runs []Run
	// rejected are the calls that were not run.
	rejected []Arrival
}

// Arrival is a call that has come, whether it was run or not.
type Arrival struct {
	At time.Time
	ID string
}

// New starts an endpoint that serves.
func New(service, id, body string) *Endpoint {
	e := &Endpoint{ID: id, Service: service, Body: body, mode: ModeServe, quit: make(chan struct{})}
	e.server = httptest.NewServer(http.HandlerFunc(e.handle))
	return e
}

// Close ends the endpoint and waits.
func (e *Endpoint) Close() {
	close(e.quit)
	e.server.CloseClientConnections()
	e.server.Close()
}

// SetMode changes the mode.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Runs gives the calls that were run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Arrivals gives all calls that have come, those that were run first.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Arrival, 0, len(e.runs)+len(e.rejected))
	for _, r := range e.runs {
		all = append(all, Arrival{At: r.At, ID: r.ID})
	}
	return append(all, e.rejected...)
}

// Address gives the address that the endpoint listens at.
func (e *Endpoint) Address() string {
	return e.server.Listener.Addr().String()
}

// Key gives the key of the endpoint's registration.
func (e *Endpoint) Key() string {
	return "servers/" + e.ID
}

// Registration gives what the endpoint publishes about itself.
func (e *Endpoint) Registration(state string) string {
	return e.RegistrationAt(e.Address(), state)
}

// RegistrationAt gives the same for an endpoint that is reached at another address.
func (e *Endpoint) RegistrationAt(address, state string) string {
	content, err := json.Marshal(map[string]any{
		"service": e.Service, "address": address, "zone": "z", "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		return ""
	}
	return string(content)
}

func (e *Endpoint) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	now := time.Now()
	id := r.Header.Get("Basilspan-Request-Id")
	w.Header().Set("Basilspan-Request-Id", id)
	expected := r.Header.Get("Basilspan-Expected-Instance")
	misdirected := expected != "" && expected != e.ID
	e.mu.Lock()
	mode := e.mode
	if mode == ModeReject || misdirected {
		e.rejected = append(e.rejected, Arrival{At: now, ID: id})
	} else {
		e.runs = append(e.runs, Run{
			At: now, ID: id, Method: r.Method, URI: r.RequestURI, Body: string(body), RemainingMS: r.Header.Get("Basilspan-Deadline-Ms"),
			CallerDone: r.Context().Done(),
		})
	}
	e.mu.Unlock()
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.respond(w, r, mode, fmt.Sprintf("%s.%s", e.ID, id))
}

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, mode Mode, seal string) {
	if mode != ModeReject && e.Delay > 0 {
		time.Sleep(e.Delay)
	}
	if mode != ModeUnsigned {
		w.Header().Set("Basilspan-Response-Seal", seal)
	}
	switch mode {
	case ModeServe, ModeUnsigned:
		_, _ = io.WriteString(w, e.Body)
	case ModeReject:
		w.Header().Set("Basilspan-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case ModeDrop:
		resetConnection(w)
	case ModeFail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	case ModeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ModeHang:
		select {
		case <-r.Context().Done():
		case <-e.quit:
		}
	case ModeEncode:
		w.Header().Set("Content-Encoding", "br")
		_, _ = io.WriteString(w, e.Body)
	case ModeAbsent:
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "absent")
	}
}

// resetConnection ends the connection without an answer.
func resetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
