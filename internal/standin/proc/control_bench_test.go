package proc

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
)

// benchEntryVMs is the number of entry VMs in today's deployments.
const benchEntryVMs = 7

// reportTimes reports the median and the maximum of the times in milliseconds.
func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "ms-median")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "ms-max")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkChangeInForce measures the time from a change of the folder until it is in force on all entry VMs. Up to 200
// ms of it are the two polls of the folder by the stand-in platform. The rows differ in how many entry VMs cannot reach
// the platform.
func BenchmarkChangeInForce(b *testing.B) {
	for _, cut := range []int{0, benchEntryVMs - 1} {
		b.Run(fmt.Sprintf("%d-cut-from-platform", cut), func(b *testing.B) {
			var relays []*Relay
			d := Start(b, Settings{Example: example.AlWadi, EntryVMs: benchEntryVMs, Prepare: func(d *Deployment, n *Node) {
				r := NewRelay(b, d.platformAddress)
				n.Platform = r.Address()
				relays = append(relays, r)
			}})
			for _, r := range relays[:cut] {
				r.Cut()
			}
			var times []time.Duration
			revision := uint64(1)
			for b.Loop() {
				revision++
				began := time.Now()
				d.Publish(changeFile, floorChange(fmt.Sprintf("0.0%03d", revision)))
				eventuallyOnEach(b, applyTimeout, d.Nodes, "the change is in force", hasRevision(revision))
				times = append(times, time.Since(began))
			}
			reportTimes(b, times)
		})
	}
}

// BenchmarkLeavingEndpoint measures the time from when an endpoint starts draining until its last new request, under
// load on all entry VMs.
func BenchmarkLeavingEndpoint(b *testing.B) {
	d := Start(b, Settings{Example: example.AlWadi, EntryVMs: benchEntryVMs})
	load := startBalancedLoad(d, "order-track", "fitter")
	defer load.Close()
	ids := []unit.EndpointID{"ot-00-a", "ot-01-a", "ot-02-a", "ot-03-a", "ot-04-a"}
	var times []time.Duration
	for b.Loop() {
		if len(times) == len(ids) {
			continue
		}
		id := ids[len(times)]
		began := time.Now()
		startDraining(d, id)
		eventuallyOnEach(b, leavingTimeout, d.Nodes, "the endpoint is leaving", isLeaving(id))
		time.Sleep(settleTime)
		times = append(times, d.Stats(id).LastCallAt.Sub(began))
	}
	reportTimes(b, times)
}

// BenchmarkRollingStop restarts every entry VM in turn under load and counts the interrupted queries.
func BenchmarkRollingStop(b *testing.B) {
	d := Start(b, Settings{Example: example.AlWadi, EntryVMs: benchEntryVMs})
	load := startBalancedLoad(d, "order-track", "fitter")
	defer load.Close()
	stops := 0
	for b.Loop() {
		for _, n := range d.Nodes {
			n.Terminate()
			n.Wait()
			d.StartNode(n)
			d.WaitReady()
			stops++
		}
	}
	load.Close()
	b.ReportMetric(float64(stops), "stops")
	b.ReportMetric(float64(load.whole.Load()), "whole")
	b.ReportMetric(float64(load.refused.Load()), "refused")
	b.ReportMetric(float64(load.cutOff.Load()), "cut-off")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleControl measures the processor time of idle entry VMs in a deployment of seven.
func BenchmarkIdleControl(b *testing.B) {
	const span = 20 * time.Second
	d := Start(b, Settings{Example: example.AlWadi, EntryVMs: benchEntryVMs})
	before := make([]float64, len(d.Nodes))
	for b.Loop() {
		for i, n := range d.Nodes {
			before[i] = cpuSeconds(b, n)
		}
		time.Sleep(span)
		most := 0.0
		for i, n := range d.Nodes {
			most = max(most, cpuSeconds(b, n)-before[i])
		}
		b.ReportMetric(100*most/span.Seconds(), "%core-max")
	}
	b.ReportMetric(0, "ns/op")
}

// cpuSeconds returns the processor time that a node's process has used, in seconds.
func cpuSeconds(b *testing.B, n *Node) float64 {
	b.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	assert.NilError(b, err)
	// Count fields after the program's name in parentheses: user and system time are the 12th and 13th, in ticks of 10
	// ms.
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+2:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(b, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(b, err)
	return (user + system) / 100
}
