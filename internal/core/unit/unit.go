// Package unit holds the named types for ids and units that every other package shares.
package unit

import "time"

// RequestID is the caller's own id of a request; it is unique to a request and the same when a caller repeats it.
type RequestID string

// SearchName names a search, for example "fitter-desk".
type SearchName string

// RankName names a rank of work, for example "desk".
type RankName string

// TenantName names the co-operative that owns a search.
type TenantName string

// ShardID names one partition of a search's index.
type ShardID string

// SnapshotID numbers a version of a search's index; a later version has a higher number.
type SnapshotID uint64

// EndpointID names one endpoint, which serves one replica of one shard.
type EndpointID string

// CentreName names a data centre.
type CentreName string

// NodeID names one entry VM.
type NodeID string

// Incarnation numbers the lives of an entry VM or endpoint: a restarted process has a higher one.
type Incarnation uint64

// Revision numbers an accepted configuration; the platform's revisions only grow.
type Revision uint64

// AttemptID numbers the attempts of one query from 1.
type AttemptID uint32

// Address is an IP number and port, "10.0.0.7:8080".
type Address string

// Slots counts the requests that an endpoint runs at the same time.
type Slots int

// Connections counts the connections that an endpoint accepts.
type Connections int

// Urgency orders the ranks; 1 is the most urgent.
type Urgency int

// Share is a part of a whole, from 0 to 1.
type Share float64

// Remaining is the time left until a deadline, as it stands at the moment of sending.
type Remaining time.Duration

// Millis gives r in whole milliseconds, rounded down, and never less than zero.
func (r Remaining) Millis() int64 {
	return max(0, time.Duration(r).Milliseconds())
}

// ServiceName names a group of endpoints that answer alike, for example one shard of an index.
type ServiceName string

// RouteName names one route of a routing table.
type RouteName string

// HostName is the host that a caller addresses.
type HostName string

// TableVersion numbers the routing tables; a later table has a higher version, with gaps.
type TableVersion uint64

// Bytes is a size in bytes.
type Bytes int64

// Weight is a service's portion of a split, relative to the other weights of the split.
type Weight float64

// Cores is a share of processor cores.
type Cores float64
