package soak

import (
	"fmt"
	"strings"
)

// checkPlannedStop looks at the requests that a VM which was asked to stop must have read, and that ended without an answer.
func checkPlannedStop(h *History, report func(string, ...any)) {
	runs := h.runsByRequest()
	for _, a := range h.Requests {
		life := h.lifetimeAt(a.VM, a.Sent)
		if a.Status != 0 || a.GaveUp || life == nil || life.StopRequested.IsZero() || !life.Killed.IsZero() {
			continue
		}
		read := len(runs[a.ID]) > 0 || a.Ended.Sub(a.Sent) > readSlack
		calm := h.isCalmExcept(a.VM, a.Sent, a.Ended, life.isPlannedStop) && h.endpointsHealthy(a.Sent, a.Ended)
		if read && calm && a.Ended.After(life.StopRequested) && a.Ended.Sub(a.Sent) < h.Bounds.Timeout {
			report("%s: cut off %v after the stop of VM %d: %v", a.ID, a.Ended.Sub(life.StopRequested), a.VM, a.Err)
		}
	}
}

// isPlannedStop says whether a disturbance is the planned stop of the process or its end.
func (l *Lifetime) isPlannedStop(s Span) bool {
	return s.From.Equal(l.StopRequested) || s.From.Equal(l.Ended)
}

// checkFailuresLogged looks for failures whose id stands in no line of the process that answered, beyond those lines that the
// process says it has left out.
func checkFailuresLogged(h *History, report func(string, ...any)) {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		var silent []string
		for _, a := range h.Requests {
			lost := !l.Killed.IsZero() && a.Ended.After(l.Killed.Add(-killedLogLoss))
			failed := a.Status != 0 && !a.succeeded()
			if failed && !lost && h.lifetimeAt(a.VM, a.Sent) == l && !strings.Contains(l.Log, `"id":"`+string(a.ID)+`"`) {
				silent = append(silent, fmt.Sprint(a.ID, " with ", a.Status))
			}
		}
		if n := countSuppressedLines(l.Log); len(silent) > n {
			report("VM %d: no line for %d failures, such as %s, with %d lines left out", l.VM, len(silent), silent[0], n)
		}
	}
}

// countSuppressedLines sums up the lines that a log says were left out.
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

// exitCodeSignal is the exit code of a process that a signal has ended.
const exitCodeSignal = -1

func checkExits(h *History, report func(string, ...any)) {
	for i := range h.Lifetimes {
		l := &h.Lifetimes[i]
		switch {
		case l.Ended.IsZero() || !l.Killed.IsZero():
		case l.StopRequested.IsZero():
			report("VM %d: ended by itself with exit code %d", l.VM, l.ExitCode)
		case l.ExitCode == exitCodeSignal && l.Log == "":
			// It was told to stop before it had begun to handle signals, and had served nobody.
		case l.ExitCode != 0:
			report("VM %d: a planned stop ended with exit code %d", l.VM, l.ExitCode)
		case l.Ended.Sub(l.StopRequested) > h.Bounds.Grace && h.isCalmExcept(l.VM, l.StopRequested, l.Ended, l.isPlannedStop):
			report("VM %d: a planned stop took %v", l.VM, l.Ended.Sub(l.StopRequested))
		}
	}
}
