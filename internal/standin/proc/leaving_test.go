package proc

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

// leavingTimeout is the target: a few seconds.
const leavingTimeout = 5 * time.Second

// isLeaving says whether a node sends an endpoint no new work.
func isLeaving(id unit.EndpointID) func(n *Node) bool {
	return func(n *Node) bool { return slices.Contains(readStatus(n).Leaving, id) }
}

// TestLeavingEndpointGetsNoNewWork takes endpoints out of service under load on every node, by each of the signs.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		id    unit.EndpointID
		leave func(d *Deployment, id unit.EndpointID)
		after func(d *Deployment)
	}{
		{"the configuration says so", "ot-00-a", func(d *Deployment, id unit.EndpointID) {
			d.Publish(changeFile, `{"searches": {"order-track": {"endpoints": {"`+string(id)+`": {"leaving": true}}}}}`)
		}, func(*Deployment) {}},
		{"the platform's list says so", "ot-01-a", func(d *Deployment, id unit.EndpointID) {
			d.SetPlatform("vm=" + string(id) + "&state=leaving")
		}, func(d *Deployment) {
			// A stale list does not bring it back.
			d.SetPlatform("vm=ot-01-a&state=live")
		}},
		{"its own drain sign", "ot-02-a", startDraining, func(*Deployment) {}},
		{"its own drain sign while the platform is down", "ot-03-a", func(d *Deployment, id unit.EndpointID) {
			d.SetPlatform("down=true")
			startDraining(d, id)
		}, func(d *Deployment) { d.SetPlatform("down=false") }},
	}
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3, ListedEndpoints: []unit.EndpointID{"ot-01-a"}})
	b := startBalancedLoad(d, "order-track", "fitter")
	defer b.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			Eventually(t, readyTimeout, "it gets work", func() bool { return d.Stats(tt.id).Runs > 0 })
			began := time.Now()
			tt.leave(d, tt.id)
			eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is leaving", isLeaving(tt.id))
			tt.after(d)
			time.Sleep(settleTime)
			last := d.Stats(tt.id).LastCallAt
			t.Logf("last new request %s after the sign", last.Sub(began).Round(time.Millisecond))
			assert.Assert(t, last.Sub(began) < leavingTimeout)
			time.Sleep(settleTime)
			assert.Assert(t, d.Stats(tt.id).LastCallAt.Equal(last))
		})
	}
	// The drained endpoint comes back with a higher incarnation, and not before.
	d.SetFaults("ot-02-a", endpoint.Faults{})
	d.Publish("96-other.json", floorChange("0.01"))
	eventuallyOnEach(t, applyTimeout, d.Nodes, "another change is in force", hasRevision(3))
	eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is still leaving", isLeaving("ot-02-a"))
	last := d.Stats("ot-02-a").LastCallAt
	d.Publish("97-back.json", `{"searches": {"order-track": {"endpoints": {"ot-02-a": {"incarnation": 1}}}}}`)
	eventuallyOnEach(t, applyTimeout, d.Nodes, "the endpoint is back", func(n *Node) bool {
		return hasRevision(4)(n) && !isLeaving("ot-02-a")(n)
	})
	Eventually(t, readyTimeout, "it gets work again", func() bool { return d.Stats("ot-02-a").LastCallAt.After(last) })
	b.Close()
	assert.Equal(t, b.cutOff.Load(), int64(0), b.firstCutOff)
}

func startDraining(d *Deployment, id unit.EndpointID) {
	d.SetFaults(id, endpoint.Faults{Draining: true})
}

// TestDrainSignReachesNodesWithoutTraffic lets one node alone see the sign.
func TestDrainSignReachesNodesWithoutTraffic(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3})
	startDraining(d, "ot-00-a")
	startDraining(d, "ot-00-b")
	Eventually(t, readyTimeout, "one node sees the sign", func() bool {
		sendQueries(d.Nodes[0], "sign")
		return isLeaving("ot-00-a")(d.Nodes[0])
	})
	eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is leaving", isLeaving("ot-00-a"))
}
