// Package quota decides how much of a common supply each of its holders may take.
package quota

import "basilspan/internal/core/unit"

// Quota is a supply of bytes that many holders share. A holder may take as much as the others leave free, and so must
// leave as much free as it has. Of n holders that grow together each gets 1/(n+1) of the supply, and a new one with a small
// need finds the rest. Holders that grow one after the other leave less, until those with more than is free ask again and
// are denied. It is not safe for concurrent use.
type Quota struct {
	// Limit is the size of the supply.
	Limit unit.Bytes

	used unit.Bytes
}

// Take gives n more bytes to a holder that has held bytes, and reports whether it may have them.
func (q *Quota) Take(held, n unit.Bytes) bool {
	if !q.Fits(held, n) {
		return false
	}
	q.used += n
	return true
}

// Fits reports whether a holder that has held bytes may take n more now.
func (q *Quota) Fits(held, n unit.Bytes) bool {
	return held+n <= q.Limit-q.used-n
}

// Return gives back n bytes that have been taken.
func (q *Quota) Return(n unit.Bytes) {
	q.used -= n
}

// Used returns how many bytes all holders have together.
func (q *Quota) Used() unit.Bytes {
	return q.used
}
