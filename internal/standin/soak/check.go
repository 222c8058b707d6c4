package soak

import (
	"fmt"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// timeoutSlack is how long after the route's timeout the final response may arrive.
	timeoutSlack = 500 * time.Millisecond
	// olderTableSlack is how long a VM may still route by an older table after its first run by a newer one.
	olderTableSlack = 250 * time.Millisecond
	// readSlack is the time after its last byte was sent from which a request counts as read by the VM.
	readSlack = 200 * time.Millisecond
	// killedLogLoss is how long before a kill log lines may be lost with the process: suppressed lines of the last
	// second that are not reported yet, and lines that are still queued.
	killedLogLoss = 2 * time.Second
	// recordSize is in bytes.
	recordSize = 16
	// maxReports is the maximum number of violations reported for one promise.
	maxReports = 4
)

// The services of PathOne and PathOnce.
const (
	serviceOne  unit.ServiceName = "a"
	serviceOnce unit.ServiceName = "b"
)

// Violation is a broken promise.
type Violation struct {
	Promise string
	Text    string
}

// promise is a guarantee of the entry VMs with the check of a whole history for it. The check calls report for each
// violation.
type promise struct {
	name  string
	check func(h *History, report func(format string, args ...any))
}

// promises are all guarantees that a run is checked for.
var promises = []promise{
	{"a response belongs to its request and is complete", checkOwnResponse},
	{"a merged response reports its coverage correctly", checkCoverage},
	{"a request refused as not run was not run", checkNotRun},
	{"a non-idempotent request runs at most once", checkRunOnce},
	{"endpoints run only what callers requested", checkRunsRequested},
	{"extra calls stay within their limit", checkExtraCalls},
	{"a leaving endpoint gets no new requests", checkLeaving},
	{"an endpoint that turns requests away gets none", checkTurnedAway},
	{"an endpoint that says that it is leaving gets no new requests", checkAnnounced},
	{"a planned stop interrupts no request", checkPlannedStop},
	{"a routing table takes effect in time", checkTableApplied},
	{"a routing table is never replaced by an older one", checkTableOrder},
	{"a request is finished at its timeout", checkTimeout},
	{"each failure has a log line", checkFailuresLogged},
	{"a process ends only on request", checkExits},
	{"an endpoint of an evacuated data centre gets no new requests", checkEvacuated},
}

// Check returns the violations in a complete history, at most maxReports for each promise.
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
