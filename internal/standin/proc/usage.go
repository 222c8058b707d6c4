package proc

import (
	"os"
	"strconv"
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// clockTick is the unit of the processor times that Linux gives.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	// CPU is the user and system time together.
	CPU time.Duration
	// Resident is the memory that it has at present, in bytes.
	Resident int64
}

// Usage reads what the process has used so far.
func (p *Process) Usage() Usage {
	p.t.Helper()
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	assert.NilError(p.t, err)
	// The fields after the command's name, which may hold spaces; user and system time are the 12th and 13th of them.
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
