package soak

import (
	"fmt"
	"slices"
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
		if read && a.Ended.After(life.Stopped) && h.calmBut(a, life) && a.Ended.Sub(a.Sent) < h.Terms.Timeout {
			report("%s: cut off %v after the stop of VM %d: %v", a.ID, a.Ended.Sub(life.Stopped), a.VM, a.Err)
		}
	}
}

// calmBut says whether nothing but the planned stop, and the end of the process that it leads to, disturbs the request.
func (h *History) calmBut(a Ask, life *Life) bool {
	from := a.Sent.Add(-h.Terms.Calm)
	for _, s := range h.Disturbed[a.VM] {
		planned := s.From.Equal(life.Stopped) || s.From.Equal(life.Ended)
		if s.overlaps(from, a.Ended) && !planned {
			return false
		}
	}
	return !slices.ContainsFunc(h.Troubled, func(s Span) bool { return s.overlaps(from, a.Ended) }) &&
		h.sound(a.Sent, a.Ended)
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

func checkExits(h *History, report func(string, ...any)) {
	for _, l := range h.Lives {
		switch {
		case l.Ended.IsZero() || !l.Killed.IsZero():
		case l.Stopped.IsZero():
			report("VM %d: ended by itself with exit code %d", l.VM, l.Exit)
		case l.Exit != 0:
			report("VM %d: a planned stop ended with exit code %d", l.VM, l.Exit)
		case l.Ended.Sub(l.Stopped) > h.Terms.Grace && h.calm(l.VM, l.Ended, l.Ended):
			report("VM %d: a planned stop took %v", l.VM, l.Ended.Sub(l.Stopped))
		}
	}
}
