// Package blocked finds goroutines that wait in a system call. Such a wait is hidden from the scheduler of the Go runtime
// and delays the timers of a process with one thread for Go code, unlike a wait in the runtime's own poller.
package blocked

import (
	"runtime"
	"strings"
	"time"
)

const (
	// dumps is in how many dumps in a row a goroutine has to be in a system call. One that only passes through a short
	// call is not in all of them.
	dumps = 5
	// dumpInterval is the time between two dumps.
	dumpInterval = 20 * time.Millisecond
	// maxDumpBytes is the size at which a dump is cut off.
	maxDumpBytes = 8 << 20
	// signalLoop waits by the runtime's own means, which release the processor at once.
	signalLoop = "os/signal.loop"
)

// InSystemCall returns the stacks of this process's goroutines that wait in a system call.
func InSystemCall() []string {
	waiting := inSystemCall()
	for range dumps - 1 {
		time.Sleep(dumpInterval)
		now := inSystemCall()
		for header := range waiting {
			if _, still := now[header]; !still {
				delete(waiting, header)
			}
		}
	}
	var stacks []string
	for _, stack := range waiting {
		stacks = append(stacks, stack)
	}
	return stacks
}

// inSystemCall returns the stacks of the goroutines that are in a system call now, by the goroutine's name.
func inSystemCall() map[string]string {
	dump := make([]byte, maxDumpBytes)
	dump = dump[:runtime.Stack(dump, true)]
	found := make(map[string]string)
	for _, stack := range strings.Split(string(dump), "\n\n") {
		name, state, _ := strings.Cut(stack, " [")
		if strings.HasPrefix(state, "syscall") && !strings.Contains(stack, signalLoop) {
			found[name] = stack
		}
	}
	return found
}
