// Package dispatch serves callers' requests along the routing table: it carries out what policy/gather decides, over
// the connections of link/leaf, and puts the answer together.
package dispatch

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// Request is one request of a caller. Its fields are those that are passed on to endpoints.
type Request struct {
	ID     unit.RequestID
	Host   unit.HostName
	Method string
	// URI is the path and query as the caller sent them, and Path the path alone.
	URI    string
	Path   string
	Fields []leaf.Field
	Body   []byte
	// HeaderSize is the size of the header as it came.
	HeaderSize unit.Bytes
	// Remaining is how long the caller waits for the answer; 0 is not stated.
	Remaining time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// RoundTrip is the time to the caller and back, 0 when it is not known, and First says that the caller has opened its
	// connection for this request.
	RoundTrip     time.Duration
	NewConnection bool
}

// Answer is the end of a request.
type Answer struct {
	Code unit.Code
	// Status, Fields and Body are those of the endpoint's reply where a reply is passed on; Status is 0 otherwise.
	Status int
	Fields []leaf.Field
	Body   []byte
	// Merged says that Body holds the merged records of several shards, that Seals are the signatures of the replies
	// that it was drawn from, and that Missing shards are left out.
	Merged  bool
	Seals   []string
	Missing int
	// RetryAfter is when a request that has not run is worth sending again; 0 is not stated.
	RetryAfter time.Duration
}
