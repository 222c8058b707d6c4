package soak

import (
	"fmt"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// timeoutSlack is how long after a route's timeout the final answer may come.
	timeoutSlack = 500 * time.Millisecond
	// olderTableSlack is how long after the effect of a table a VM may still serve by an older one.
	olderTableSlack = 250 * time.Millisecond
	// readSlack is how long after its last byte a request counts as read.
	readSlack = 200 * time.Millisecond
	// killedLogLoss is how long before a kill lines may be lost with the process: those of the last second that are counted and
	// not told yet, and those that are queued.
	killedLogLoss = 2 * time.Second
	// recordSize is the size of one record in bytes.
	recordSize = 16
	// maxReports is how many violations of one promise are told.
	maxReports = 4
)

// The services of PathOne and PathOnce.
const (
	serviceOne  unit.ServiceName = "a"
	serviceOnce unit.ServiceName = "b"
)

// Violation is a promise that was not kept.
type Violation struct {
	Promise string
	Text    string
}

// promise is a check of a whole history. It reports each violation's text.
type promise struct {
	name  string
	check func(h *History, report func(format string, args ...any))
}

// promises are all checks, by the name of what they hold the entry VMs to.
var promises = []promise{
	{"an answer is its own request's, whole", checkOwnResponse},
	{"an answer states its coverage truly", checkCoverage},
	{"a refusal that says not run is true", checkNotRun},
	{"what must not be repeated runs once", checkRunOnce},
	{"endpoints run only what was asked", checkRunsRequested},
	{"extra calls stay within their bound", checkExtraCalls},
	{"a leaving endpoint gets nothing new", checkLeaving},
	{"a planned stop cuts off nothing", checkPlannedStop},
	{"a table is in force in time", checkTableApplied},
	{"a table is never replaced by an older one", checkTableOrder},
	{"an answer is final at its timeout", checkTimeout},
	{"logs explain each failure", checkFailuresLogged},
	{"a process ends only when it is told to", checkExits},
}

// Check gives the first violations of each promise in a history that is complete.
func Check(h *History) []Violation {
	var all []Violation
	for _, p := range promises {
		n := 0
		p.check(h, func(format string, args ...any) {
			if n++; n <= maxReports {
				all = append(all, Violation{Promise: p.name, Text: fmt.Sprintf(format, args...)})
			}
		})
	}
	return all
}
