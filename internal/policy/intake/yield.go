package intake

import (
	"time"

	"basilspan/internal/core/unit"
)

const (
	// usualHead is the size up to which an unfinished request counts as one that is just arriving.
	usualHead unit.Bytes = 16 << 10
	// pacedReads is how many reads of a request are not paced, whatever they bring.
	pacedReads = 64
	// usualRead is how much a read brings on average at least, so that the connection is not paced.
	usualRead unit.Bytes = 256
	// pace is the wait before each further read of a paced connection. What comes meanwhile is read at once.
	pace = 10 * time.Millisecond
)

// Pace returns how long to wait before the next read of a request of which reads have brought n bytes. It bounds the work
// for a caller that sends a request in very small pieces.
func Pace(reads int, n unit.Bytes) time.Duration {
	if reads < pacedReads || n >= unit.Bytes(reads)*usualRead {
		return 0
	}
	return pace
}

const (
	// excessRate is how many bytes a second are read of all requests beyond usualHead that are not whole, and excessBurst
	// how many at once. They bound the processor time that unfinished requests take from the others.
	excessRate  unit.Bytes = 32 << 20
	excessBurst unit.Bytes = 4 << 20
)

// Excess spreads the reading of large unfinished requests, in sum over all connections. The zero value is ready. It is not
// safe for concurrent use.
type Excess struct {
	// paidUntil is when what has been read so far is made up for.
	paidUntil time.Time
}

// Wait returns how long a connection waits before its next read, at that time, after a read of n bytes of a request of
// which unfinished bytes have come in all.
func (e *Excess) Wait(now time.Time, unfinished, n unit.Bytes) time.Duration {
	if unfinished <= usualHead {
		return 0
	}
	burst := duration(excessBurst)
	if earliest := now.Add(-burst); e.paidUntil.Before(earliest) {
		e.paidUntil = earliest
	}
	e.paidUntil = e.paidUntil.Add(duration(n))
	return max(0, e.paidUntil.Sub(now))
}

// duration returns how long the reading of n bytes takes at excessRate.
func duration(n unit.Bytes) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(excessRate)
}

// Connection is what decides whether a connection gives way. A connection whose request is being served never does, nor one
// that is being answered, unless its listener has no callers.
type Connection struct {
	// Unfinished is how many bytes have come of a request that is not whole, or wait of an answer.
	Unfinished unit.Bytes
	// Served reports whether a request has been answered on the connection.
	Served bool
	// Since is when the last request was answered, or else when the connection was accepted.
	Since time.Time
}

// arrivalTime is how long the first request on a new connection may take to come.
const arrivalTime = time.Second

// The stages of connections, in the order in which they give place: those whose first request is still on the way last.
const (
	stageArriving = iota
	stageServed
	stageSilent
)

// GivesPlaceBefore reports whether c leaves its place to a new connection rather than other: first those with the most of an
// unfinished request, then those that have not had a request for long, and then those that have waited longest for the next.
func (c Connection) GivesPlaceBefore(now time.Time, other Connection) bool {
	mine, others := c.excess(), other.excess()
	switch {
	case mine != others:
		return mine > others
	case c.stage(now) != other.stage(now):
		return c.stage(now) > other.stage(now)
	default:
		return c.Since.Before(other.Since)
	}
}

// stage returns how far the connection is.
func (c Connection) stage(now time.Time) int {
	switch {
	case c.Served:
		return stageServed
	case now.Sub(c.Since) < arrivalTime:
		return stageArriving
	default:
		return stageSilent
	}
}

// excess returns the unfinished bytes, or 0 for a request that is just arriving.
func (c Connection) excess() unit.Bytes {
	if c.Unfinished <= usualHead {
		return 0
	}
	return c.Unfinished
}

// GivesMemoryTo reports whether c leaves its memory to a connection whose unfinished request has n bytes.
func (c Connection) GivesMemoryTo(n unit.Bytes) bool {
	return c.Unfinished > n
}

const (
	// callerConnectionBytes is what an idle connection of a caller takes, with its goroutines and buffers, and
	// peerConnectionBytes what one of another VM takes.
	callerConnectionBytes = 32 << 10
	peerConnectionBytes   = 16 << 10
	// callerDescriptorShare is the part of the descriptors that callers may have, and peerDescriptorShare that of other VMs.
	// The rest is for endpoints.
	callerDescriptorShare = 2
	peerDescriptorShare   = 4
)

// MaxConnections returns how many connections of callers a VM may have, for the memory that it gives to requests and the
// file descriptors of its process. 0 of either means not known; it returns 0, for no bound, if both are.
func MaxConnections(memory unit.Bytes, descriptors int) int {
	return maxConnections(memory, callerConnectionBytes, descriptors, callerDescriptorShare)
}

// MaxPeerConnections is MaxConnections for connections of other VMs, and the memory that it gives to their messages.
func MaxPeerConnections(memory unit.Bytes, descriptors int) int {
	return maxConnections(memory, peerConnectionBytes, descriptors, peerDescriptorShare)
}

// maxConnections is MaxConnections for connections that take each bytes, and a share of the descriptors.
func maxConnections(memory, each unit.Bytes, descriptors, share int) int {
	byMemory, byDescriptors := max(1, int(memory/each)), max(1, descriptors/share)
	switch {
	case memory <= 0 && descriptors <= 0:
		return 0
	case memory <= 0:
		return byDescriptors
	case descriptors <= 0:
		return byMemory
	default:
		return min(byMemory, byDescriptors)
	}
}
