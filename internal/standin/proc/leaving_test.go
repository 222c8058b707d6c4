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

// leavingTimeout is the target time within which a leaving endpoint gets its last new request.
const leavingTimeout = 5 * time.Second

// isLeaving returns a check that a node treats an endpoint as leaving and sends it no new requests.
func isLeaving(id unit.EndpointID) func(n *Node) bool {
	return func(n *Node) bool { return slices.Contains(readStatus(n).Leaving, id) }
}

// TestLeavingEndpointGetsNoNewWork takes endpoints out of service under load on every node, in each way that an
// endpoint can be marked as leaving. No query may be interrupted, and a drained endpoint returns only with a higher
// incarnation.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		id    unit.EndpointID
		leave func(d *Deployment, id unit.EndpointID)
		after func(d *Deployment)
	}{
		{"set in the configuration", "ot-00-a", func(d *Deployment, id unit.EndpointID) {
			d.Publish(changeFile, `{"searches": {"order-track": {"endpoints": {"`+string(id)+`": {"leaving": true}}}}}`)
		}, func(*Deployment) {}},
		{"set in the platform's list", "ot-01-a", func(d *Deployment, id unit.EndpointID) {
			d.SetPlatform("vm=" + string(id) + "&state=leaving")
		}, func(d *Deployment) {
			// A stale list must not put it back in service.
			d.SetPlatform("vm=ot-01-a&state=live")
		}},
		{"reported by the endpoint", "ot-02-a", startDraining, func(*Deployment) {}},
		{"reported by the endpoint while the platform is down", "ot-03-a", func(d *Deployment, id unit.EndpointID) {
			d.SetPlatform("down=true")
			startDraining(d, id)
		}, func(d *Deployment) { d.SetPlatform("down=false") }},
	}
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3, ListedEndpoints: []unit.EndpointID{"ot-01-a"}})
	b := startBalancedLoad(d, "order-track", "fitter")
	defer b.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			Eventually(t, readyTimeout, "the endpoint gets requests", func() bool { return d.Stats(tt.id).Runs > 0 })
			began := time.Now()
			tt.leave(d, tt.id)
			eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is leaving", isLeaving(tt.id))
			tt.after(d)
			time.Sleep(settleTime)
			last := d.Stats(tt.id).LastCallAt
			t.Logf("last new request %s after the endpoint was marked as leaving", last.Sub(began).Round(time.Millisecond))
			assert.Assert(t, last.Sub(began) < leavingTimeout)
			time.Sleep(settleTime)
			assert.Assert(t, d.Stats(tt.id).LastCallAt.Equal(last))
		})
	}
	// The drained endpoint returns with a higher incarnation, and not before.
	d.SetFaults("ot-02-a", endpoint.Faults{})
	d.Publish("96-other.json", floorChange("0.01"))
	eventuallyOnEach(t, applyTimeout, d.Nodes, "another change is in force", hasRevision(3))
	eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is still leaving", isLeaving("ot-02-a"))
	last := d.Stats("ot-02-a").LastCallAt
	d.Publish("97-back.json", `{"searches": {"order-track": {"endpoints": {"ot-02-a": {"incarnation": 1}}}}}`)
	eventuallyOnEach(t, applyTimeout, d.Nodes, "the endpoint is back", func(n *Node) bool {
		return hasRevision(4)(n) && !isLeaving("ot-02-a")(n)
	})
	Eventually(t, readyTimeout, "the endpoint gets requests again", func() bool {
		return d.Stats("ot-02-a").LastCallAt.After(last)
	})
	b.Close()
	assert.Equal(t, b.cutOff.Load(), int64(0), b.firstCutOff)
}

// startDraining makes an endpoint report that it is draining.
func startDraining(d *Deployment, id unit.EndpointID) {
	d.SetFaults(id, endpoint.Faults{Draining: true})
}

// TestDrainSignReachesNodesWithoutTraffic sends queries through one node only. The others must learn from it that the
// endpoint is leaving.
func TestDrainSignReachesNodesWithoutTraffic(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3})
	startDraining(d, "ot-00-a")
	startDraining(d, "ot-00-b")
	Eventually(t, readyTimeout, "the queried node sees that the endpoint is leaving", func() bool {
		sendQueries(d.Nodes[0], "sign")
		return isLeaving("ot-00-a")(d.Nodes[0])
	})
	eventuallyOnEach(t, leavingTimeout, d.Nodes, "the endpoint is leaving", isLeaving("ot-00-a"))
}
