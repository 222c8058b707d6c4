package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"basilspan/internal/standin/proc"
)

var (
	seeds  = flag.Int("soak.seeds", 1, "how many fresh seeds to run")
	first  = flag.Uint64("soak.first", 1, "the first of the fresh seeds")
	length = flag.Duration("soak.length", 8*time.Second, "how long faults are injected for each seed")
	vms    = flag.Int("soak.vms", 3, "how many entry VMs there are")
	rate   = flag.Float64("soak.rate", 1.5, "how many faults are drawn for each second")
)

const (
	// settleTime is how long the callers go on after the last fault; it is longer than the calm time.
	settleTime = 6 * time.Second
	// minServedShare is the least share of the requests in the last second that are answered.
	minServedShare = 0.95
)

// regressionLength and regressionRate are those with which the seeds of regressions have failed.
const (
	regressionLength = 10 * time.Second
	regressionRate   = 2
)

// regressions are the seeds that have failed, with their causes.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1010, "a restarted VM had its whole part of the slack again"},
	{1016, "an endpoint that came back at an address that another one had in between was not used again"},
	{1028, "a request that was read while its connection closed was refused without a log line, as was an endpoint's failure"},
	{1020, "a failure of an endpoint that was passed on had no log line"},
	{2000, "lines that were left out in the last second before a stop were not counted"},
	{2043, "lines that were left out in the last second before a stop were not counted"},
	{3020, "a SIGTERM in the first milliseconds of a process ended it by the signal, which is allowed"},
	{2041, "lines that were left out in the last second before a stop were not counted"},
	{1029, "a registry that had gone silent was noticed after the calm time"},
}

func TestMain(m *testing.M) {
	defer proc.Cleanup()
	m.Run()
}

// TestSoak runs fresh seeds and those that have failed before.
func TestSoak(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed, ", ", r.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, r.seed, Plan(r.seed, regressionLength, regressionRate))
		})
	}
	for n := range *seeds {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, Plan(seed, *length, *rate))
		})
	}
}

// runSeed plays the faults of one seed and checks all that was seen.
func runSeed(t *testing.T, seed uint64, plan []Fault) {
	w := newDeployment(t, *vms)
	w.wg.Add(1)
	go w.recordStalls()
	w.startBalancer()
	w.startCallers(seed)
	w.inject(plan)
	time.Sleep(settleTime)
	h := w.finish()
	for _, v := range Check(h) {
		t.Errorf("%s: %s", v.Promise, v.Text)
	}
	served, asked, failures := countLastSecond(h)
	if float64(served) < minServedShare*float64(asked) {
		t.Errorf("%d of %d are served in the end: %v", served, asked, failures)
	}
	t.Logf("%d requests, %d calls, %d tables, %d processes", len(h.Requests), len(h.Calls), len(h.Tables), len(h.Lifetimes))
	if t.Failed() {
		t.Logf("the faults: %+v", plan)
	}
}

// countLastSecond counts the requests of the last second in which some were sent, and those of them that were served; failures
// counts the others by how they ended.
func countLastSecond(h *History) (served, asked int, failures map[string]int) {
	failures = make(map[string]int)
	var last time.Time
	for _, a := range h.Requests {
		if a.Sent.After(last) {
			last = a.Sent
		}
	}
	for _, a := range h.Requests {
		if a.GaveUp || a.Sent.Before(last.Add(-time.Second)) {
			continue
		}
		asked++
		if a.succeeded() {
			served++
		} else {
			failures[fmt.Sprint("VM ", a.VM, " ", a.Path, " ", a.Status)]++
		}
	}
	return served, asked, failures
}
