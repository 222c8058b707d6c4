package soak

import (
	"fmt"
	"strings"
)

// checkStop looks at the requests that a VM which was asked to stop must have read, and that ended without an answer.
func checkStop(h *History, report func(string, ...any)) {
	runs := h.runsOf()
	for _, a := range h.Asks {
		life := h.life(a.VM, a.Sent)
		if a.Status != 0 || a.GaveUp || life == nil || life.Stopped.IsZero() || !life.Killed.IsZero() {
			continue
		}
		read := len(runs[a.ID]) > 0 || a.Ended.Sub(a.Sent) > readSlack
		calm := h.calmBut(a.VM, a.Sent, a.Ended, life.planned) && h.sound(a.Sent, a.Ended)
		if read && calm && a.Ended.After(life.Stopped) && a.Ended.Sub(a.Sent) < h.Terms.Timeout {
			report("%s: cut off %v after the stop of VM %d: %v", a.ID, a.Ended.Sub(life.Stopped), a.VM, a.Err)
		}
	}
}

// planned says whether a disturbance is the planned stop of the process or its end.
func (l *Life) planned(s Span) bool {
	return s.From.Equal(l.Stopped) || s.From.Equal(l.Ended)
}

// checkExplained looks for failures whose id stands in no line of the process that answered, beyond those lines that the
// process says it has left out.
func checkExplained(h *History, report func(string, ...any)) {
	for i := range h.Lives {
		l := &h.Lives[i]
		var silent []string
		for _, a := range h.Asks {
			lost := !l.Killed.IsZero() && a.Ended.After(l.Killed.Add(-logSlack))
			failed := a.Status != 0 && !a.succeeded()
			if failed && !lost && h.life(a.VM, a.Sent) == l && !strings.Contains(l.Log, `"id":"`+string(a.ID)+`"`) {
				silent = append(silent, fmt.Sprint(a.ID, " with ", a.Status))
			}
		}
		if n := leftOut(l.Log); len(silent) > n {
			report("VM %d: no line for %d failures, such as %s, with %d lines left out", l.VM, len(silent), silent[0], n)
		}
	}
}

// leftOut sums up the lines that a log says were left out.
func leftOut(log string) int {
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

// exitSignal is the exit code of a process that a signal has ended.
const exitSignal = -1

func checkExits(h *History, report func(string, ...any)) {
	for i := range h.Lives {
		l := &h.Lives[i]
		switch {
		case l.Ended.IsZero() || !l.Killed.IsZero():
		case l.Stopped.IsZero():
			report("VM %d: ended by itself with exit code %d", l.VM, l.Exit)
		case l.Exit == exitSignal && l.Log == "":
			// It was told to stop before it had begun to handle signals, and had served nobody.
		case l.Exit != 0:
			report("VM %d: a planned stop ended with exit code %d", l.VM, l.Exit)
		case l.Ended.Sub(l.Stopped) > h.Terms.Grace && h.calmBut(l.VM, l.Stopped, l.Ended, l.planned):
			report("VM %d: a planned stop took %v", l.VM, l.Ended.Sub(l.Stopped))
		}
	}
}
