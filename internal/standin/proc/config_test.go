package proc

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/core/unit"
)

const (
	// applyTimeout is the target for a change to be in force on every entry VM.
	applyTimeout = 11 * time.Second
	// recoverTimeout is the target together with the longest back-off of a watch.
	recoverTimeout = 2 * applyTimeout
	// settleTime is how long a test waits to see that something does not happen.
	settleTime = 3 * time.Second
	// changeFile is the file by which tests change the configuration.
	changeFile = "95-change.json"
)

// nodeStatus is the part of an entry VM's status that the tests read.
type nodeStatus struct {
	State    string             `json:"state"`
	Revision uint64             `json:"revision"`
	Members  []nodeMember       `json:"members"`
	Leaving  []unit.EndpointID  `json:"leaving"`
	Counters map[string]float64 `json:"counters"`
}

type nodeMember struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func readStatus(n *Node) nodeStatus {
	var s nodeStatus
	n.GetJSON("/status", &s)
	return s
}

// readCounter gives a counter of an entry VM.
func readCounter(n *Node, name string) float64 {
	var s nodeStatus
	n.GetJSON("/debug/vars", &s)
	return s.Counters[name]
}

// eventuallyOnEach waits until check holds on every node.
func eventuallyOnEach(t testing.TB, limit time.Duration, nodes []*Node, what string, check func(n *Node) bool) {
	t.Helper()
	for _, n := range nodes {
		Eventually(t, limit, n.Name+": "+what, func() bool { return check(n) })
	}
}

func hasRevision(revision uint64) func(n *Node) bool {
	return func(n *Node) bool { return readStatus(n).Revision == revision }
}

// floorChange gives a change of the configuration that is valid; each share makes it another one.
func floorChange(share string) string {
	return `{"ranks": {"upkeep": {"floor": ` + share + `}}}`
}

var inForcePattern = regexp.MustCompile(`configuration in force.* revision=(\d+) digest=(\w+)`)

// configsInForce gives the configurations that a node has had in force, in order.
func configsInForce(n *Node) []string {
	var all []string
	for _, m := range inForcePattern.FindAllStringSubmatch(n.Output(), -1) {
		all = append(all, m[1]+"/"+m[2])
	}
	return all
}

// TestChangeReachesDisconnectedNodes publishes a change while some nodes are cut off from the platform, or from each other.
func TestChangeReachesDisconnectedNodes(t *testing.T) {
	tests := []struct {
		name     string
		platform []int
		peers    []int
	}{
		{"none is cut off", nil, nil},
		{"two of three from the platform", []int{1, 2}, nil},
		{"all from each other", nil, []int{0, 1, 2}},
		{"one from the platform and another from its peers", []int{1}, []int{2}},
	}
	platforms, peers := make(map[string]*Relay), make(map[string]*Relay)
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3, Prepare: func(d *Deployment, n *Node) {
		platforms[n.Name] = NewRelay(t, d.platformAddress)
		peers[n.Name] = NewRelay(t, n.Peer)
		n.Platform, n.Advertise = platforms[n.Name].Address(), peers[n.Name].Address()
	}})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, cut := range tt.platform {
				platforms[d.Nodes[cut].Name].Cut()
				defer platforms[d.Nodes[cut].Name].Heal()
			}
			for _, cut := range tt.peers {
				peers[d.Nodes[cut].Name].Cut()
				defer peers[d.Nodes[cut].Name].Heal()
			}
			began := time.Now()
			d.Publish(changeFile, floorChange("0.0"+string(rune('1'+i))))
			eventuallyOnEach(t, applyTimeout, d.Nodes, "the change is in force", hasRevision(uint64(i+2)))
			t.Logf("in force on every node after %s", time.Since(began).Round(time.Millisecond))
		})
	}
}

// TestNewVMGetsCurrentConfiguration starts an entry VM while the platform is in trouble: once it says that it is ready it holds what the
// others hold.
func TestNewVMGetsCurrentConfiguration(t *testing.T) {
	tests := []struct {
		name string
		// trouble is made before the fresh VM starts.
		trouble func(d *Deployment)
	}{
		{"the platform is down", func(d *Deployment) { d.SetPlatform("down=true") }},
		{"the platform is lost", func(d *Deployment) { d.Platform.Kill() }},
		{"the platform is frozen", func(d *Deployment) { d.Platform.Freeze() }},
		{"the platform shows an older revision", func(d *Deployment) {
			d.Platform.Kill()
			d.Publish(changeFile, floorChange("0.05"))
			d.StartPlatform()
		}},
		{"the platform is down and a peer is frozen", func(d *Deployment) {
			d.SetPlatform("down=true")
			d.Nodes[0].Freeze()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
			d.Publish(changeFile, floorChange("0.01"))
			eventuallyOnEach(t, applyTimeout, d.Nodes, "the first change is in force", hasRevision(2))
			d.Publish(changeFile, floorChange("0.02"))
			eventuallyOnEach(t, applyTimeout, d.Nodes, "the second change is in force", hasRevision(3))
			fresh := d.AddNode(func(_ *Deployment, n *Node) {
				n.Peers = []unit.Address{d.Nodes[0].Peer, d.Nodes[1].Peer}
			})
			tt.trouble(d)
			d.StartNode(fresh)
			Eventually(t, readyTimeout, "the fresh VM is ready", func() bool { return fresh.GetStatus("/ready") == http.StatusOK })
			assert.Equal(t, readStatus(fresh).Revision, uint64(3))
			assert.DeepEqual(t, configsInForce(fresh)[len(configsInForce(fresh))-1], configsInForce(d.Nodes[1])[2])
		})
	}
}

// TestNewVMWithoutSourcesIsNotReady starts an entry VM that reaches neither platform nor peers: it is not ready before it
// has a configuration, and then it is.
func TestNewVMWithoutSourcesIsNotReady(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 1})
	d.SetPlatform("down=true")
	fresh := d.AddNode(nil)
	d.StartNode(fresh)
	Eventually(t, readyTimeout, "it knows that it is alone", func() bool { return readCounter(fresh, "control.alone") > 0 })
	assert.Equal(t, fresh.GetStatus("/ready"), http.StatusServiceUnavailable)
	d.SetPlatform("down=false")
	Eventually(t, recoverTimeout, "it is ready", func() bool { return fresh.GetStatus("/ready") == http.StatusOK })
}

// TestInvalidConfigurations shows the nodes configurations that must not come into force, or not twice.
func TestInvalidConfigurations(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
	tests := []struct {
		name    string
		content string
		want    uint64
		refused bool
	}{
		{"half a file", floorChange("0.01")[:20], 1, true},
		{"the whole file", floorChange("0.01"), 3, false},
		{"a value out of range", floorChange("7"), 3, true},
		{"an unknown field", `{"rank": {}}`, 3, true},
		{"mended", floorChange("0.03"), 6, false},
	}
	for _, tt := range tests {
		refused := make(map[*Node]float64)
		for _, n := range d.Nodes {
			refused[n] = readCounter(n, "config.invalid")
		}
		d.Publish(changeFile, tt.content)
		if tt.refused {
			eventuallyOnEach(t, applyTimeout, d.Nodes, tt.name+" is refused", func(n *Node) bool {
				return readCounter(n, "config.invalid") > refused[n]
			})
		}
		eventuallyOnEach(t, applyTimeout, d.Nodes, tt.name, hasRevision(tt.want))
	}
}

// TestConflictingRevisionsConverge replaces the platform by one that shows the same revision with other content, to nodes that
// hold the first content, to one that hears of it from its peers alone, and to a fresh one.
func TestConflictingRevisionsConverge(t *testing.T) {
	var relay *Relay
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 3, Prepare: func(d *Deployment, n *Node) {
		if n.Name == "e3" {
			// One node sees the second content from its peers alone.
			relay = NewRelay(t, d.platformAddress)
			n.Platform = relay.Address()
		}
	}})
	relay.Cut()
	d.Platform.Kill()
	d.Publish(changeFile, floorChange("0.04"))
	d.StartPlatform()
	eventuallyOnEach(t, recoverTimeout, d.Nodes[:2], "the conflict is seen", func(n *Node) bool {
		return readCounter(n, "config.conflict") > 0
	})
	d.StartNode(d.AddNode(nil))
	last := func(n *Node) string {
		all := configsInForce(n)
		return append([]string{""}, all...)[len(all)]
	}
	d.WaitReady()
	eventuallyOnEach(t, recoverTimeout, d.Nodes, "the same content is in force", func(n *Node) bool {
		return last(n) != "" && last(n) == last(d.Nodes[0])
	})
	for _, n := range d.Nodes {
		assert.Assert(t, strings.HasPrefix(last(n), "1/"))
	}
}

// TestPlatformRestartsWithLowerRevision replaces the platform by one whose revisions are lower: no node goes back, and a
// revision beyond the held one is accepted again.
func TestPlatformRestartsWithLowerRevision(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, EntryVMs: 2})
	d.Publish(changeFile, floorChange("0.01"))
	eventuallyOnEach(t, applyTimeout, d.Nodes, "the change is in force", hasRevision(2))
	d.Platform.Kill()
	d.Publish(changeFile, floorChange("0.02"))
	d.StartPlatform()
	eventuallyOnEach(t, recoverTimeout, d.Nodes, "the lower revision is seen", func(n *Node) bool {
		return readCounter(n, "config.old") > 0
	})
	for _, n := range d.Nodes {
		assert.Equal(t, readStatus(n).Revision, uint64(2))
	}
	d.Publish(changeFile, floorChange("0.03"))
	eventuallyOnEach(t, recoverTimeout, d.Nodes, "the same revision with other content ends alike", func(n *Node) bool {
		return readCounter(n, "config.conflict") > 0
	})
	d.Publish(changeFile, floorChange("0.04"))
	eventuallyOnEach(t, recoverTimeout, d.Nodes, "a revision beyond is in force", hasRevision(3))
}
