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
	// MaxConnections is how many connections to the endpoint this VM may hold.
	MaxConnections int
	// MaxWait is how long the call may wait for a connection that another call uses.
	MaxWait time.Duration
	// Deadline is when the endpoint is to stop working on the call.
	Deadline time.Time
}

// ResultKind says what became of a call.
type ResultKind int

// The kinds of ends.
const (
	// KindReply is a whole reply that belongs to the call.
	KindReply ResultKind = iota + 1
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
	// NotExecuted says that the endpoint states that it has not run the call.
	NotExecuted bool
	// Misdirected says that another endpoint than the expected one has the address.
	Misdirected bool
	// Encoded says that the body is not in the form in which the endpoint makes it.
	Encoded bool
	// Load is the endpoint's load report, or nil.
	Load *replica.Load
	// ClosesConnection says that the connection takes no further call, and Idle how long it may wait for one; 0 is not stated.
	ClosesConnection bool
	IdleTimeout      time.Duration
}

// Result is how a call ended.
type Result struct {
	Kind  ResultKind
	Reply Reply
	// Err is why there is no reply.
	Err error
}

// Flight is a call under way.
type Flight struct {
	call Call
	done func(Result)

	mu        sync.Mutex
	conn      *conn
	abandoned bool
	completed bool
	// waitTimer ends the wait for a connection; nil while the call has not waited.
	waitTimer *time.Timer
}

// Abandon says that nobody waits for the call any longer: one that has not left never will, and one that has left gets
// a short time for its reply, so that its connection can be kept.
func (f *Flight) Abandon(now time.Time) {
	f.mu.Lock()
	f.abandoned = true
	c := f.conn
	f.mu.Unlock()
	if c != nil {
		c.limitReplyWait(f, now.Add(abandonedReplyTimeout))
	}
}

// startWaitTimer bounds the wait of a call that waits for a connection. One that has not left by then never will.
func (f *Flight) startWaitTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waitTimer == nil {
		f.waitTimer = time.AfterFunc(f.call.MaxWait, f.expireWait)
	}
}

// expireWait ends a call that has not left.
func (f *Flight) expireWait() {
	f.mu.Lock()
	waiting := f.conn == nil && !f.abandoned
	f.abandoned = f.abandoned || waiting
	f.mu.Unlock()
	if waiting {
		f.complete(Result{Kind: KindNotSent, Err: ErrFull})
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

// complete reports the end of the flight once.
func (f *Flight) complete(e Result) {
	f.mu.Lock()
	first := !f.completed
	f.completed = true
	if f.waitTimer != nil {
		f.waitTimer.Stop()
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

// completeAbandoned ends a call that was abandoned before it left, and says whether it was.
func (f *Flight) completeAbandoned() bool {
	if !f.isAbandoned() {
		return false
	}
	f.complete(Result{Kind: KindNotSent, Err: errAbandoned})
	return true
}
