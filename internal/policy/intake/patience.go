package intake

import (
	"time"

	"basilspan/internal/core/unit"
)

// shortPatience is how long an answer may wait without a byte being read while much memory is taken.
const shortPatience = 2 * time.Second

// Patience returns how long an answer may wait without its caller reading a byte of it, when used of limit bytes for answers
// are taken. timeout is how long it may while there is enough.
func Patience(used, limit unit.Bytes, timeout time.Duration) time.Duration {
	if 2*used < limit {
		return timeout
	}
	return min(timeout, shortPatience)
}
