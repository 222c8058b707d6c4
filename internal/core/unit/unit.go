// Package unit defines the named types for ids and units that all other packages share.
package unit

import "time"

// RequestID is the caller's id of a request. It is unique to the request and stays the same when the caller retries
// it.
type RequestID string

// SearchName is the name of a search, for example "fitter-desk".
type SearchName string

// RankName is the name of a rank of requests, for example "desk".
type RankName string

// TenantName is the name of the organisation that owns a search.
type TenantName string

// ShardID identifies one partition of a search's index.
type ShardID string

// SnapshotID is the number of a version of a search's index; a later version has a higher number.
type SnapshotID uint64

// EndpointID identifies one endpoint, which serves one replica of one shard.
type EndpointID string

// CentreName is the name of a data centre.
type CentreName string

// NodeID identifies one entry VM.
type NodeID string

// Incarnation is the number of a process run of an entry VM or endpoint; it is higher after each restart.
type Incarnation uint64

// Revision is the number of a configuration published by the platform, or of a change in the registry. The revisions of
// one source only increase, those of the registry within an era.
type Revision uint64

// Era is the number of times the registry has been restored from a copy. A restore takes back the changes since the
// copy, whose revisions are then given out again.
type Era uint64

// Position is a point in the history of the registry.
type Position struct {
	Era      Era
	Revision Revision
}

// After reports whether p is later than other. Revisions order the changes of one era only.
func (p Position) After(other Position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Revision > other.Revision
}

// Sequence is the number of a heartbeat of an endpoint, counted from the endpoint's start.
type Sequence uint64

// AttemptID is the number of an attempt of one query, from 1.
type AttemptID uint32

// Address is an IP address and port, for example "10.0.0.7:8080".
type Address string

// Slots is the number of requests that an endpoint runs concurrently.
type Slots int

// Connections is the number of connections that an endpoint accepts.
type Connections int

// RequestRate is a number of requests per second.
type RequestRate float64

// Urgency is the priority of a rank; 1 is the most urgent.
type Urgency int

// Share is a fraction of a whole, from 0 to 1.
type Share float64

// Remaining is the time left until a deadline at the moment of sending.
type Remaining time.Duration

// Millis returns r in whole milliseconds, rounded down, and 0 if r is negative.
func (r Remaining) Millis() int64 {
	return max(0, time.Duration(r).Milliseconds())
}

// ServiceName is the name of a group of interchangeable endpoints, for example those of one shard of an index.
type ServiceName string

// RouteName is the name of a route of the routing table.
type RouteName string

// HostName is the host that a caller's request is addressed to.
type HostName string

// TableVersion is the version of a routing table. A later table has a higher version; numbers may be skipped.
type TableVersion uint64

// Bytes is a size in bytes.
type Bytes int64

// Weight is the relative weight of a service in a traffic split.
type Weight float64

// Cores is an amount of processor time in cores, which may be a fraction of one.
type Cores float64
