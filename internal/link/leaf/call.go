// Package leaf calls endpoints over connections that each carry one request at a time. A request is written to a
// connection at most once; nothing here sends it again.
package leaf

import (
	"sync"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/replica"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Message is what is common to all calls of one caller's request, encoded once.
type Message struct {
	ID     unit.RequestID
	Method string
	// Head is the encoded request up to the fields that differ between calls.
	Head []byte
	Body []byte
}

// Call is one attempt at one endpoint.
type Call struct {
	Message  *Message
	Endpoint unit.EndpointID
	Address  unit.Address
	// Connections is how many connections to the endpoint this VM may hold.
	Connections int
	// Wait is how long the call may wait for a connection that another call uses.
	Wait time.Duration
	// Until is when the endpoint is to stop working on the call.
	Until time.Time
}

// Kind says what became of a call.
type Kind int

// The kinds of ends.
const (
	// KindReply is a whole reply that belongs to the call.
	KindReply Kind = iota + 1
	// KindNotSent means that no byte of the call has left.
	KindNotSent
	// KindLost means that the call may have arrived and that no reply will come.
	KindLost
)

// Reply is a whole reply.
type Reply struct {
	ID     unit.RequestID
	Status int
	Fields []Field
	Body   []byte
	// Seal is the endpoint's signature of the reply.
	Seal string
	// Unrun says that the endpoint states that it has not run the call.
	Unrun bool
	// Misdirected says that another endpoint than the expected one has the address.
	Misdirected bool
	// Encoded says that the body is not in the form in which the endpoint makes it.
	Encoded bool
	// Load is the endpoint's load report, or nil.
	Load *replica.Load
	// Last says that the connection takes no further call, and Idle how long it may wait for one; 0 is not stated.
	Last bool
	Idle time.Duration
}

// End is how a call ended.
type End struct {
	Kind  Kind
	Reply Reply
	// Err is why there is no reply.
	Err error
}

// Flight is a call under way.
type Flight struct {
	call Call
	done func(End)

	mu        sync.Mutex
	conn      *conn
	abandoned bool
	ended     bool
	// patience ends the wait for a connection; nil while the call has not waited.
	patience *time.Timer
}

// Abandon says that nobody waits for the call any longer: one that has not left never will, and one that has left gets
// a short time for its reply, so that its connection can be kept.
func (f *Flight) Abandon(now time.Time) {
	f.mu.Lock()
	f.abandoned = true
	c := f.conn
	f.mu.Unlock()
	if c != nil {
		c.limit(f, now.Add(abandonedTime))
	}
}

// await bounds the wait of a call that waits for a connection. One that has not left by then never will.
func (f *Flight) await() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.patience == nil {
		f.patience = time.AfterFunc(f.call.Wait, f.giveUp)
	}
}

// giveUp ends a call that has not left.
func (f *Flight) giveUp() {
	f.mu.Lock()
	waiting := f.conn == nil && !f.abandoned
	f.abandoned = f.abandoned || waiting
	f.mu.Unlock()
	if waiting {
		f.end(End{Kind: KindNotSent, Err: ErrFull})
	}
}

// attach gives the flight its connection; it says false for one that was abandoned before it left.
func (f *Flight) attach(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned {
		return false
	}
	f.conn = c
	return true
}

// end reports the end of the flight once.
func (f *Flight) end(e End) {
	f.mu.Lock()
	first := !f.ended
	f.ended = true
	if f.patience != nil {
		f.patience.Stop()
	}
	f.mu.Unlock()
	if first {
		f.done(e)
	}
}

func (f *Flight) isAbandoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.abandoned
}

// endAbandoned ends a call that was abandoned before it left, and says whether it was.
func (f *Flight) endAbandoned() bool {
	if !f.isAbandoned() {
		return false
	}
	f.end(End{Kind: KindNotSent, Err: errAbandoned})
	return true
}
