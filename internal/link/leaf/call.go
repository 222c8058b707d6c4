// Package leaf sends calls to endpoints over pooled connections. A connection carries one call at a time. A call is
// written to a connection at most once; this package never retries.
package leaf

import (
	"sync"
	"time"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/replica"
)

// Field is an HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Message holds the parts that all calls for one caller's request share. It is encoded once.
type Message struct {
	ID     unit.RequestID
	Method string
	// Head is the encoded request line and header, without the fields that differ between calls.
	Head []byte
	Body []byte
}

// Call is one attempt at one endpoint.
type Call struct {
	Message  *Message
	Endpoint unit.EndpointID
	Address  unit.Address
	// MaxConnections is the number of connections that this VM may open to the endpoint.
	MaxConnections int
	// MaxWait is how long the call may wait for a connection while all are in use.
	MaxWait time.Duration
	// Deadline is when the endpoint must stop working on the call.
	Deadline time.Time
	// Allowed reports whether the call may be sent at now. It is asked right before the call is written; nil allows it.
	Allowed func(now time.Time) bool
}

// ResultKind is the kind of a call's result.
type ResultKind int

// The kinds of results.
const (
	// KindReply means that a complete reply to the call was read.
	KindReply ResultKind = iota + 1
	// KindNotSent means that no byte of the call was sent.
	KindNotSent
	// KindLost means that the call may have reached the endpoint, but no reply was read and none will be.
	KindLost
)

// Reply is a complete reply from an endpoint.
type Reply struct {
	ID     unit.RequestID
	Status int
	Fields []Field
	Body   []byte
	// Seal is the endpoint's signature of the reply. This VM forwards it and does not verify it.
	Seal string
	// NotExecuted reports whether the endpoint stated that it did not execute the call.
	NotExecuted bool
	// Misdirected reports whether an endpoint other than the expected one replied at the address.
	Misdirected bool
	// Encoded reports whether the body has a content encoding, so that it is not the plain form.
	Encoded bool
	// Load is the endpoint's load report, or nil if there is none that can be used. LoadInvalid is set if some of it
	// could not be decoded.
	Load        *replica.Load
	LoadInvalid bool
	// ClosesConnection reports whether the connection accepts no further call. IdleTimeout is how long the endpoint
	// keeps it open without one; 0 means not stated.
	ClosesConnection bool
	IdleTimeout      time.Duration
	// RetryAfter is for how long the endpoint wants no requests from this VM, 0 if it does not say so. RetryAfterInvalid
	// is set if it could not be decoded.
	RetryAfter        time.Duration
	RetryAfterInvalid bool
	// Leaving reports whether the endpoint stated that it is leaving.
	Leaving bool
	// Memory is what the reply takes of the pool's Memory. Whoever receives the reply has to close it when the reply is no
	// longer needed. It is nil without a bound.
	Memory *memory.Hold
}

// endsUse reports whether further calls must not be sent to the endpoint before the reply has been recorded.
func (r Reply) endsUse() bool {
	return r.RetryAfter > 0 || r.Leaving
}

// Result is the outcome of a call.
type Result struct {
	Kind ResultKind
	// Reply is complete for KindReply. For KindLost, it has only the ID, Misdirected and Leaving, if they are known.
	Reply Reply
	// Err is the reason why there is no reply.
	Err error
}

// Flight is a call in flight: waiting for a connection, or sent and waiting for its reply.
type Flight struct {
	// id and method are those of the call's message.
	id     unit.RequestID
	method string
	call   Call
	done   func(Result)

	mu        sync.Mutex
	conn      *conn
	abandoned bool
	completed bool
	// waitTimer ends the wait for a connection. It is nil if the call never had to wait.
	waitTimer *time.Timer
}

// Abandon marks the call as no longer needed. A call that was not sent is never sent, and unsent is true. A call that was
// sent gets a short time for its reply, so that its connection can be reused.
func (f *Flight) Abandon(now time.Time) (unsent bool) {
	f.mu.Lock()
	f.abandoned = true
	c := f.conn
	if c == nil {
		f.dropMessage()
	}
	f.mu.Unlock()
	if c == nil {
		return true
	}
	c.limitReplyWait(f, now.Add(abandonedReplyTimeout))
	return false
}

// startWaitTimer starts the timer that bounds the wait for a connection. A call that was not sent by then is never
// sent.
func (f *Flight) startWaitTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waitTimer == nil {
		f.waitTimer = time.AfterFunc(f.call.MaxWait, f.expireWait)
	}
}

// expireWait completes a call that was not sent within its wait time as not sent, with ErrFull. It is called by the
// wait timer, and has no effect on a call that has a connection or was abandoned.
func (f *Flight) expireWait() {
	f.mu.Lock()
	waiting := f.conn == nil && !f.abandoned
	if waiting {
		f.abandoned = true
		f.dropMessage()
	}
	f.mu.Unlock()
	if waiting {
		f.complete(Result{Kind: KindNotSent, Err: ErrFull})
	}
}

// withdrawUnlessAllowed completes a call that has no connection yet and may not be sent at now as not sent, and reports
// whether it did.
func (f *Flight) withdrawUnlessAllowed(now time.Time) bool {
	if f.call.Allowed == nil || f.call.Allowed(now) {
		return false
	}
	f.mu.Lock()
	unsent := f.conn == nil
	if unsent {
		f.abandoned = true
		f.dropMessage()
	}
	f.mu.Unlock()
	if unsent {
		f.complete(Result{Kind: KindNotSent, Err: errWithdrawn})
	}
	return unsent
}

// dropMessage gives up the message, which may be large, of a call that is never written or has been. The flight may outlive
// the caller's request, in the queue for a connection or until its reply has come.
func (f *Flight) dropMessage() {
	f.call.Message = nil
}

// attach assigns the connection to the flight right before the call is written to it. It returns false, and the call
// must not be written, if the flight was abandoned.
func (f *Flight) attach(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned {
		return false
	}
	f.conn = c
	return true
}

// complete passes the result to the callback of the flight and stops its wait timer. Only the first call invokes the
// callback; first reports whether this one did.
func (f *Flight) complete(e Result) (first bool) {
	f.mu.Lock()
	first = !f.completed
	f.completed = true
	if f.waitTimer != nil {
		f.waitTimer.Stop()
	}
	f.mu.Unlock()
	if first {
		f.done(e)
	}
	return first
}

// isAbandoned reports whether the call was abandoned or its wait for a connection expired.
func (f *Flight) isAbandoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.abandoned
}

// completeAbandoned completes a call as not sent if it was abandoned, and reports whether it was. It is called only for
// calls that wait for a connection.
func (f *Flight) completeAbandoned() bool {
	if !f.isAbandoned() {
		return false
	}
	f.complete(Result{Kind: KindNotSent, Err: errAbandoned})
	return true
}
