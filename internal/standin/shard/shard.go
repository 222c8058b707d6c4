// Package shard simulates the platform's endpoints for tests: an endpoint answers calls with records and a signature,
// and misbehaves on demand.
package shard

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Mode is how an endpoint handles calls.
type Mode string

// The modes of an endpoint.
const (
	// ModeServe runs the call and replies with the endpoint's body.
	ModeServe Mode = "serve"
	// ModeReject replies 503 without running the call, and states that it has not run.
	ModeReject Mode = "reject"
	// ModeTurnAway does the same, with the Retry-After header that TurnAway sets.
	ModeTurnAway Mode = "turnaway"
	// ModeDrop runs the call and resets the connection.
	ModeDrop Mode = "lose"
	// ModeFail runs the call and replies 500.
	ModeFail Mode = "fail"
	// ModeBusy runs the call and replies 503 without stating that it has not run.
	ModeBusy Mode = "busy"
	// ModeHang runs the call until its caller closes the connection.
	ModeHang Mode = "hang"
	// ModeEncode replies with a Content-Encoding header.
	ModeEncode Mode = "encode"
	// ModeUnsigned replies without a signature.
	ModeUnsigned Mode = "unsigned"
	// ModeAbsent replies 404, as an endpoint may for a request that it doesn't know.
	ModeAbsent Mode = "absent"
	// ModeScript runs the call and sends the bytes of the endpoint's script instead of a reply.
	ModeScript Mode = "script"
)

// rejects reports whether calls are rejected without being run.
func (m Mode) rejects() bool {
	return m == ModeReject || m == ModeTurnAway
}

// Script is what an endpoint in ModeScript sends, with "ID" and "SEAL" in Text replaced by those of the call. It then
// closes the connection.
type Script struct {
	Text string
	// Repeat, if set, is sent after Text until the caller closes the connection.
	Repeat string
	// Reset resets the connection instead of closing it.
	Reset bool
}

// Run is one call that an endpoint has run.
type Run struct {
	// At is when the call had been received completely.
	At     time.Time
	ID     string
	Method string
	URI    string
	Body   string
	// RemainingMS is the call's deadline header as sent: the time left for the call, in milliseconds.
	RemainingMS string
	// CallerDone is closed once the caller has closed the connection or the call has been replied to.
	CallerDone <-chan struct{}
	// Leaving reports whether the reply said that the endpoint is leaving.
	Leaving bool
}

// Endpoint is one simulated endpoint that listens on loopback.
type Endpoint struct {
	ID      string
	Service string
	// Delay is the time that a call takes to run.
	Delay time.Duration
	// Body is the body of the replies.
	Body string
	// Centre is the data centre that the endpoint registers; New sets "z".
	Centre string
	// Born is when the endpoint says in its registration that it started; it does not say so at the zero time.
	Born time.Time

	server *httptest.Server
	quit   chan struct{}

	mu   sync.Mutex
	mode Mode
	// leaving is set if the endpoint says in its replies that it is leaving.
	leaving bool
	// retryAfter is the value of the Retry-After header in ModeTurnAway.
	retryAfter string
	script     Script
	// sequence is the number of registrations so far.
	sequence int
	runs     []Run
	// rejected holds the calls that were not run.
	rejected []Arrival
}

// Arrival is a received call, whether it was run or not.
type Arrival struct {
	At time.Time
	ID string
	// RetryAfter is the Retry-After header of the reply, empty if there was none.
	RetryAfter string
	// Leaving reports whether the reply said that the endpoint is leaving.
	Leaving bool
	// Misdirected is set if the call was meant for another endpoint.
	Misdirected bool
}

// New starts an endpoint in ModeServe.
func New(service, id, body string) *Endpoint {
	e := &Endpoint{ID: id, Service: service, Body: body, Centre: "z", mode: ModeServe, quit: make(chan struct{})}
	e.server = httptest.NewServer(http.HandlerFunc(e.handle))
	return e
}

// Close stops the endpoint and waits for its handlers.
func (e *Endpoint) Close() {
	close(e.quit)
	e.server.CloseClientConnections()
	e.server.Close()
}

// Disconnect closes the connections of all callers, also those with a call in progress.
func (e *Endpoint) Disconnect() {
	e.server.CloseClientConnections()
}

// SetMode changes how the endpoint handles calls that arrive from now on.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// SetLeaving changes whether the endpoint says in its replies from now on that it is leaving.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// TurnAway sets ModeTurnAway with that value of the Retry-After header.
func (e *Endpoint) TurnAway(retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.retryAfter = ModeTurnAway, retryAfter
}

// Restart makes the endpoint a new incarnation, which started at now and is not leaving. It takes effect in what the
// endpoint registers from now on.
func (e *Endpoint) Restart(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Born, e.leaving = now, false
}

// SetScript sets ModeScript with that script.
func (e *Endpoint) SetScript(s Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.script = ModeScript, s
}

// Runs returns the calls that were run, in the order of arrival.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Arrivals returns all received calls: first those that were run, then those that were not.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Arrival, 0, len(e.runs)+len(e.rejected))
	for _, r := range e.runs {
		all = append(all, Arrival{At: r.At, ID: r.ID, Leaving: r.Leaving})
	}
	return append(all, e.rejected...)
}

// Address returns the address that the endpoint listens at.
func (e *Endpoint) Address() string {
	return e.server.Listener.Addr().String()
}

// Key returns the registry key of the endpoint's registration.
func (e *Endpoint) Key() string {
	return "servers/" + e.ID
}

// Registration returns the value that the endpoint registers about itself, in the given state. Each one has a higher
// sequence than the one before.
func (e *Endpoint) Registration(state string) string {
	return e.RegistrationAt(e.Address(), state)
}

// RegistrationAt returns the same value with another address.
func (e *Endpoint) RegistrationAt(address, state string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	fields := map[string]any{
		"service": e.Service, "address": address, "zone": e.Centre, "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": 0, "sequence": e.sequence,
	}
	if !e.Born.IsZero() {
		fields["born"] = e.Born.UnixMilli()
	}
	content, err := json.Marshal(fields)
	if err != nil {
		return ""
	}
	return string(content)
}

// handle records a call and responds to it. A call for another endpoint gets status 421 and does not run.
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
	mode, script := e.mode, e.script
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if mode.rejects() || misdirected {
		a := Arrival{At: now, ID: id, Leaving: e.leaving, Misdirected: misdirected}
		if mode == ModeTurnAway && !misdirected {
			a.RetryAfter = e.retryAfter
		}
		e.rejected = append(e.rejected, a)
	} else {
		e.runs = append(e.runs, Run{
			At: now, ID: id, Method: r.Method, URI: r.RequestURI, Body: string(body),
			RemainingMS: r.Header.Get("Basilspan-Deadline-Ms"), CallerDone: r.Context().Done(), Leaving: e.leaving,
		})
	}
	retryAfter := e.retryAfter
	e.mu.Unlock()
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	seal := fmt.Sprintf("%s.%s", e.ID, id)
	if mode == ModeScript {
		script.play(w, id, seal)
		return
	}
	if mode == ModeTurnAway {
		w.Header().Set("Retry-After", retryAfter)
	}
	e.respond(w, r, mode, seal)
}

// respond waits for the delay, unless the call is rejected, and responds as the mode says.
func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, mode Mode, seal string) {
	if !mode.rejects() && e.Delay > 0 {
		time.Sleep(e.Delay)
	}
	if mode != ModeUnsigned {
		w.Header().Set("Basilspan-Response-Seal", seal)
	}
	switch mode {
	case ModeServe, ModeUnsigned:
		_, _ = io.WriteString(w, e.Body)
	case ModeReject, ModeTurnAway:
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

// play sends the script on the connection of a call and ends the connection.
func (s Script) play(w http.ResponseWriter, id, seal string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, strings.NewReplacer("ID", id, "SEAL", seal).Replace(s.Text))
	for s.Repeat != "" && err == nil {
		_, err = io.WriteString(c, s.Repeat)
	}
	if tcp, ok := c.(*net.TCPConn); ok && s.Reset {
		_ = tcp.SetLinger(0)
	}
}

// resetConnection resets the TCP connection without a reply.
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
