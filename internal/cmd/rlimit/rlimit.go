// Package rlimit reads the limits that the operating system sets for the process, and sets that on its memory.
package rlimit

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"basilspan/internal/core/unit"
)

// heapShare is the percentage of the limit on the memory of the process at which garbage is collected more often. The limit
// also covers the program itself and the sockets' buffers.
const heapShare = 70

// gcPercent is the heap growth, in percent, that triggers a garbage collection (as GOGC). On a fifth of a core a
// collection delays the queries in flight by milliseconds, and a larger value costs memory.
const gcPercent = 75

// SetMemory has garbage collected for a process with that limit on its memory, more often when it nears the limit; 0 means
// no limit, and changes nothing.
func SetMemory(limit unit.Bytes) {
	if limit > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(limit) * heapShare / 100)
	}
}

// Descriptors returns how many descriptors the process may have open, 0 if that is not known or not limited.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
