package proc

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// clockTick is the unit of processor times in /proc on Linux.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// Resident is the current resident memory in bytes.
	Resident int64
}

// PeakMemory returns the most resident memory that the process has had, in bytes.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	assert.NilError(p.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	assert.Assert(p.t, len(fields) > 1 && fields[1] == "kB", "no VmHWM: %s", status)
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	assert.NilError(p.t, err)
	return kilobytes << 10
}

// Usage reads the current resource usage of the process.
func (p *Process) Usage() Usage {
	p.t.Helper()
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	assert.NilError(p.t, err)
	// The command name may contain spaces, so count fields after it: user and system time are the 12th and 13th.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(p.t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(p.t, err)
	statm, err := os.ReadFile(dir + "/statm")
	assert.NilError(p.t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	assert.NilError(p.t, err)
	return Usage{CPU: time.Duration(user+system) * clockTick, Resident: pages * int64(os.Getpagesize())}
}

// Accepted returns how many connections of a loopback address that the process listens on it has not closed.
func (p *Process) Accepted(address unit.Address) int {
	p.t.Helper()
	table, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/net/tcp")
	assert.NilError(p.t, err)
	listen, err := netip.ParseAddrPort(string(address))
	assert.NilError(p.t, err)
	port := fmt.Sprintf(":%04X", listen.Port())
	n := 0
	for _, line := range strings.Split(string(table), "\n") {
		// The states are those of the kernel's TCP: 01 established, 08 closed by the other side.
		if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[1], port) && (f[3] == "01" || f[3] == "08") {
			n++
		}
	}
	return n
}

// Descriptors returns how many file descriptors the process has open.
func (p *Process) Descriptors() int {
	p.t.Helper()
	open, err := os.ReadDir("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd")
	assert.NilError(p.t, err)
	return len(open)
}
