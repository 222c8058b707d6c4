package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/proc"
	"basilspan/internal/standin/shard"
)

const (
	// floodTime is for how long a flood is played, with floodRequests at once each floodPause.
	floodTime     = 4 * time.Second
	floodRequests = 40
	floodPause    = 400 * time.Millisecond
	// floodMemory is the limit on the memory of a process that is started without one.
	floodMemory = 160 << 20
)

// TestFloodsLeaveMemory guards against endpoints that send replies without end until the VM that has called them exceeds
// its memory, and is killed with the requests of all its callers.
func TestFloodsLeaveMemory(t *testing.T) {
	tests := []struct {
		name   string
		script shard.Script
	}{
		{"bodies without end", shard.Script{
			Text: "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\n\r\n", Repeat: strings.Repeat("x", 64<<10),
		}},
		{"heads without end", shard.Script{
			Text: "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\n", Repeat: strings.Repeat("X: 1\r\n", 10_000),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dep := newDeployment(t, 1, defaultBounds)
			for _, e := range dep.endpoints {
				if e.Service != string(serviceOne) {
					e.SetScript(tt.script)
				}
			}
			var wg sync.WaitGroup
			end := time.Now().Add(floodTime)
			for n := 0; time.Now().Before(end); n++ {
				for i := range floodRequests {
					path := []Path{PathAll, PathOnce, PathMoved, PathOne}[i%4]
					wg.Add(1)
					go func() {
						defer wg.Done()
						dep.sendOnNewConnection(unit.RequestID(fmt.Sprintf("%d-%d", n, i)), path)
					}()
				}
				time.Sleep(floodPause)
			}
			peak := int64(0)
			dep.vms[0].signalProcess(func(p *proc.Process) { peak = p.PeakMemory() }, func(*Lifetime) {})
			wg.Wait()
			h := dep.finish()
			t.Logf("%d MB at the peak", peak>>20)
			assert.Assert(t, peak > 0 && peak < floodMemory, "%d MB of memory", peak>>20)
			assert.Equal(t, len(h.Lifetimes), 1)
			// The endpoints of PathOne are sound. A burst may use up the connections to them, and nothing else is in the way.
			statuses := make(map[int]int)
			for _, r := range h.Requests {
				if r.Path == PathOne {
					statuses[r.Status]++
				}
			}
			served, refused := statuses[http.StatusOK], statuses[http.StatusServiceUnavailable]
			assert.Assert(t, len(statuses) <= 2 && served > refused, "answers by status: %v", statuses)
		})
	}
}

// sendOnNewConnection sends a request to the first VM, waits for its response and records both.
func (dep *deployment) sendOnNewConnection(id unit.RequestID, path Path) {
	c, err := net.Dial("tcp", string(dep.vms[0].callersAddress))
	if err != nil {
		dep.history.update(func(h *History) {
			h.Requests = append(h.Requests, Request{ID: id, Path: path, Err: err})
		})
		return
	}
	defer func() { _ = c.Close() }()
	dep.send(c, Request{ID: id, Path: path, Method: http.MethodGet, Remaining: callerTimeout, Sent: time.Now()})
}
