// Package dispatch serves callers' requests according to the routing table. It carries out the decisions of
// policy/gather over the connections of link/leaf and builds the answer.
package dispatch

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// Request is a caller's request. Fields holds the header fields that are forwarded to endpoints.
type Request struct {
	ID     unit.RequestID
	Host   unit.HostName
	Method string
	// URI is the path and query as received, and Path is the path alone.
	URI    string
	Path   string
	Fields []leaf.Field
	Body   []byte
	// HeaderSize is the size of the header as received.
	HeaderSize unit.Bytes
	// Remaining is how long the caller waits for the answer; 0 means that it was not stated.
	Remaining time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// RoundTrip is the network round-trip time to the caller, 0 if unknown. NewConnection reports whether this is the
	// first request on the caller's connection.
	RoundTrip     time.Duration
	NewConnection bool
}

// Answer is the answer to a request.
type Answer struct {
	Code unit.Code
	// Status, Fields and Body are those of the endpoint's reply if a reply is forwarded; otherwise Status is 0.
	Status int
	Fields []leaf.Field
	Body   []byte
	// Merged reports whether Body holds the merged records of several shards. Seals are the endpoints' signatures of the
	// replies that were merged, and Missing is the number of shards without a reply.
	Merged  bool
	Seals   []string
	Missing int
	// Release, if it is set, gives back the memory of an endpoint's reply. It is called once the answer has been written or
	// can't be.
	Release func()
	// RetryAfter is the time after which a request that has not run is worth sending again; 0 means that it is not
	// stated.
	RetryAfter time.Duration
}
