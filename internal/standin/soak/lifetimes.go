package soak

import (
	"fmt"
	"strings"
)

// checkPlannedStop reports requests that a VM had read, or had time to read, and whose connection ended without a
// response after the VM received its stop signal, whatever the endpoints did. It leaves out requests that the caller
// abandoned, that reached the timeout, whose process was killed, or that another fault of the VM may have affected.
func checkPlannedStop(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, req := range h.Requests {
		lifetime := h.lifetimeAt(req.VM, req.Sent)
		if req.Status != 0 || req.GaveUp || lifetime == nil || lifetime.StopRequested.IsZero() ||
			!lifetime.Killed.IsZero() {
			continue
		}
		read := len(runs[req.ID]) > 0 || req.Ended.Sub(req.Sent) > readSlack
		calm := h.isCalmExcept(req.VM, req.Sent, req.Ended, lifetime.isOwnStopOrRestart)
		if read && calm && req.Ended.After(lifetime.StopRequested) && req.Ended.Sub(req.Sent) < h.Bounds.Timeout {
			report("%s: connection ended without a response %v after VM %d was told to stop: %v", req.ID,
				req.Ended.Sub(lifetime.StopRequested), req.VM, req.Err)
		}
	}
}

// isOwnStopOrRestart reports whether a fault span begins at the planned stop of the process or at its end. The latter
// span covers the restartPause before the next process.
func (l *Lifetime) isOwnStopOrRestart(s Span) bool {
	return s.From.Equal(l.StopRequested) || s.From.Equal(l.Ended)
}

// checkFailuresLogged reports failed requests whose ID is in no log line of the process that answered them, if there
// are more of them than log lines that the process reports as suppressed. It leaves out requests that ended later than
// killedLogLoss before a kill.
func checkFailuresLogged(h *History, report func(string, ...any)) {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		var unlogged []string
		for _, req := range h.Requests {
			lost := !l.Killed.IsZero() && req.Ended.After(l.Killed.Add(-killedLogLoss))
			failed := req.Status != 0 && !req.succeeded()
			if failed && !lost && h.lifetimeAt(req.VM, req.Sent) == l &&
				!strings.Contains(l.Log, `"id":"`+string(req.ID)+`"`) {
				unlogged = append(unlogged, fmt.Sprint(req.ID, " with ", req.Status))
			}
		}
		if n := countSuppressedLines(l.Log); len(unlogged) > n {
			report("VM %d: no log line for %d failures, such as %s, with %d lines suppressed", l.VM, len(unlogged),
				unlogged[0], n)
		}
	}
}

// countSuppressedLines returns the total of suppressed lines that the "lines left out" messages of a log report.
func countSuppressedLines(log string) int {
	total := 0
	for _, line := range strings.Split(log, "\n") {
		_, rest, found := strings.Cut(line, `"msg":"lines left out"`)
		if !found {
			continue
		}
		_, count, _ := strings.Cut(rest, `"count":`)
		var n int
		if _, err := fmt.Sscanf(count, "%d", &n); err == nil {
			total += n
		}
	}
	return total
}

// exitCodeSignal is the exit code of a process that was terminated by a signal.
const exitCodeSignal = -1

// checkExits reports processes that ended without a signal, and planned stops that failed or took longer than the grace
// period.
func checkExits(h *History, report func(string, ...any)) {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		switch {
		case l.Ended.IsZero() || !l.Killed.IsZero():
		case l.StopRequested.IsZero():
			report("VM %d: process ended unasked with exit code %d", l.VM, l.ExitCode)
		case l.ExitCode == exitCodeSignal && l.Log == "":
			// The signal arrived before the process handled signals, and it had served no request yet.
		case l.ExitCode != 0:
			report("VM %d: planned stop ended with exit code %d", l.VM, l.ExitCode)
		case l.Ended.Sub(l.StopRequested) > h.Bounds.Grace &&
			h.isCalmExcept(l.VM, l.StopRequested, l.Ended, l.isOwnStopOrRestart):
			report("VM %d: planned stop took %v", l.VM, l.Ended.Sub(l.StopRequested))
		}
	}
}
