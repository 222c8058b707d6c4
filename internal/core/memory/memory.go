// Package memory bounds how many bytes of others a VM holds at the same time. Traffic takes them from an account before
// it holds them; policy/quota decides who may take how much.
package memory

import (
	"sync"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/quota"
)

// Account is a supply of bytes. It is safe for concurrent use. A nil Account has no bound.
type Account struct {
	// OnDeny is called for each Take that is denied, with the bytes that all holds have. It must not call the account. nil
	// does nothing.
	OnDeny func(used unit.Bytes)

	mu    sync.Mutex
	quota quota.Quota
	peak  unit.Bytes
}

// reserveShare is the part of an account that only small holders may take, and smallHolders how many of them find room in
// it.
const (
	reserveShare = 4
	smallHolders = 48
)

// NewAccount returns an account of limit bytes.
func NewAccount(limit unit.Bytes) *Account {
	reserve := limit / reserveShare
	return &Account{quota: quota.Quota{Limit: limit, Reserve: reserve, Small: reserve / smallHolders}}
}

// Used returns how many bytes are taken.
func (a *Account) Used() unit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quota.Used()
}

// Limit returns how many bytes may be taken.
func (a *Account) Limit() unit.Bytes {
	return a.quota.Limit
}

// Peak returns the most bytes that were taken at a time.
func (a *Account) Peak() unit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}

// NewHold returns a hold without any bytes.
func (a *Account) NewHold() *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a}
}

// Hold is what one holder has taken from an account. It is safe for concurrent use. A nil Hold has no bound.
type Hold struct {
	account *Account
	// n and closed are guarded by the account's mu.
	n      unit.Bytes
	closed bool
}

// Take takes n more bytes, and reports whether the account permits them.
func (h *Hold) Take(n unit.Bytes) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed || !a.quota.Take(h.n, n) {
		if a.OnDeny != nil {
			a.OnDeny(a.quota.Used())
		}
		return false
	}
	h.n += n
	a.peak = max(a.peak, a.quota.Used())
	return true
}

// Fits reports whether Take would permit n more bytes now. It takes none.
func (h *Hold) Fits(n unit.Bytes) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return !h.closed && h.account.quota.Fits(h.n, n)
}

// MoveTo passes the bytes of h, which has none afterwards, to another hold of the same account. If that one is closed, the
// bytes are given back.
func (h *Hold) MoveTo(other *Hold) {
	if h == nil || other == nil {
		h.Release()
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if other.closed {
		a.quota.Return(h.n)
	} else {
		other.n += h.n
	}
	h.n = 0
}

// Return gives back n bytes, or all of them if the hold has fewer, such as after a close.
func (h *Hold) Return(n unit.Bytes) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	n = min(n, h.n)
	h.account.quota.Return(n)
	h.n -= n
}

// Release gives all bytes back. The hold can take others.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.quota.Return(h.n)
	h.n = 0
}

// Close gives all bytes back. The hold gets no others afterwards.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.closed = true
	h.account.quota.Return(h.n)
	h.n = 0
}
