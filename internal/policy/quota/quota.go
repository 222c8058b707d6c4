// Package quota decides how much of a common supply each of its holders may take.
package quota

import "basilspan/internal/core/unit"

// Quota is a supply of bytes that many holders share. A holder may take as much as the others leave free, and so must
// leave as much free as it has. Of n holders that grow together each gets 1/(n+1) of the supply, and a new one with a small
// need finds the rest. Holders that grow one after the other would leave less and less, so that a part of the supply is
// reserved for holders with a small need. It is not safe for concurrent use.
type Quota struct {
	// Limit is the size of the supply.
	Limit unit.Bytes
	// Reserve is the part of the supply which only holders of at most Small bytes may take. 0 reserves nothing.
	Reserve unit.Bytes
	Small   unit.Bytes

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
	if held+n <= q.Small {
		return n <= q.Limit-q.used
	}
	return held+n <= q.Limit-q.used-n && n <= q.Limit-q.Reserve-q.used
}

// Return gives back n bytes that have been taken.
func (q *Quota) Return(n unit.Bytes) {
	q.used -= n
}

// Used returns how many bytes all holders have together.
func (q *Quota) Used() unit.Bytes {
	return q.used
}
