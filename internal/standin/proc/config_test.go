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
	// inForceTime is the target for a change to be in force on every entry VM.
	inForceTime = 11 * time.Second
	// recoverTime is the target together with the longest back-off of a watch.
	recoverTime = 2 * inForceTime
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

func status(n *Node) nodeStatus {
	var s nodeStatus
	n.Read("/status", &s)
	return s
}

// counter gives a counter of an entry VM.
func counter(n *Node, name string) float64 {
	var s nodeStatus
	n.Read("/debug/vars", &s)
	return s.Counters[name]
}

// everyNode waits until check holds on every node.
func everyNode(t testing.TB, limit time.Duration, nodes []*Node, what string, check func(n *Node) bool) {
	t.Helper()
	for _, n := range nodes {
		Eventually(t, limit, n.Name+": "+what, func() bool { return check(n) })
	}
}

func holds(revision uint64) func(n *Node) bool {
	return func(n *Node) bool { return status(n).Revision == revision }
}

// floor gives a change of the configuration that is valid; each share makes it another one.
func floor(share string) string {
	return `{"ranks": {"upkeep": {"floor": ` + share + `}}}`
}

var inForceLine = regexp.MustCompile(`configuration in force.* revision=(\d+) digest=(\w+)`)

// versions gives the configurations that a node has had in force, in order.
func versions(n *Node) []string {
	var all []string
	for _, m := range inForceLine.FindAllStringSubmatch(n.Output(), -1) {
		all = append(all, m[1]+"/"+m[2])
	}
	return all
}

// TestChangeReachesNodesCutOff publishes a change while some nodes are cut off from the platform, or from each other.
func TestChangeReachesNodesCutOff(t *testing.T) {
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
	d := Start(t, Settings{Example: example.AlWadi, Entries: 3, Prepare: func(d *Deployment, n *Node) {
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
			d.Publish(changeFile, floor("0.0"+string(rune('1'+i))))
			everyNode(t, inForceTime, d.Nodes, "the change is in force", holds(uint64(i+2)))
			t.Logf("in force on every node after %s", time.Since(began).Round(time.Millisecond))
		})
	}
}

// TestFreshVM starts an entry VM while the platform is in trouble: once it says that it is ready it holds what the
// others hold.
func TestFreshVM(t *testing.T) {
	tests := []struct {
		name string
		// trouble is made before the fresh VM starts.
		trouble func(d *Deployment)
	}{
		{"the platform is down", func(d *Deployment) { d.Steer("down=true") }},
		{"the platform is lost", func(d *Deployment) { d.Platform.Kill() }},
		{"the platform is frozen", func(d *Deployment) { d.Platform.Freeze() }},
		{"the platform shows an older revision", func(d *Deployment) {
			d.Platform.Kill()
			d.Publish(changeFile, floor("0.05"))
			d.StartPlatform()
		}},
		{"the platform is down and a peer is frozen", func(d *Deployment) {
			d.Steer("down=true")
			d.Nodes[0].Freeze()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Start(t, Settings{Example: example.AlWadi, Entries: 2})
			d.Publish(changeFile, floor("0.01"))
			everyNode(t, inForceTime, d.Nodes, "the first change is in force", holds(2))
			d.Publish(changeFile, floor("0.02"))
			everyNode(t, inForceTime, d.Nodes, "the second change is in force", holds(3))
			fresh := d.AddNode(func(_ *Deployment, n *Node) {
				n.Peers = []unit.Address{d.Nodes[0].Peer, d.Nodes[1].Peer}
			})
			tt.trouble(d)
			d.StartNode(fresh)
			Eventually(t, readyTime, "the fresh VM is ready", func() bool { return fresh.Get("/ready") == http.StatusOK })
			assert.Equal(t, status(fresh).Revision, uint64(3))
			assert.DeepEqual(t, versions(fresh)[len(versions(fresh))-1], versions(d.Nodes[1])[2])
		})
	}
}

// TestFreshVMWithoutSources starts an entry VM that reaches neither platform nor peers: it is not ready before it
// has a configuration, and then it is.
func TestFreshVMWithoutSources(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, Entries: 1})
	d.Steer("down=true")
	fresh := d.AddNode(nil)
	d.StartNode(fresh)
	Eventually(t, readyTime, "it knows that it is alone", func() bool { return counter(fresh, "control.alone") > 0 })
	assert.Equal(t, fresh.Get("/ready"), http.StatusServiceUnavailable)
	d.Steer("down=false")
	Eventually(t, recoverTime, "it is ready", func() bool { return fresh.Get("/ready") == http.StatusOK })
}

// TestBadPublications shows the nodes configurations that must not come into force, or not twice.
func TestBadPublications(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, Entries: 2})
	tests := []struct {
		name    string
		content string
		want    uint64
		refused bool
	}{
		{"half a file", floor("0.01")[:20], 1, true},
		{"the whole file", floor("0.01"), 3, false},
		{"a value out of range", floor("7"), 3, true},
		{"an unknown field", `{"rank": {}}`, 3, true},
		{"mended", floor("0.03"), 6, false},
	}
	for _, tt := range tests {
		refused := make(map[*Node]float64)
		for _, n := range d.Nodes {
			refused[n] = counter(n, "config.invalid")
		}
		d.Publish(changeFile, tt.content)
		if tt.refused {
			everyNode(t, inForceTime, d.Nodes, tt.name+" is refused", func(n *Node) bool {
				return counter(n, "config.invalid") > refused[n]
			})
		}
		everyNode(t, inForceTime, d.Nodes, tt.name, holds(tt.want))
	}
}

// TestConflictEndsAlike replaces the platform by one that shows the same revision with other content, to nodes that
// hold the first content, to one that hears of it from its peers alone, and to a fresh one.
func TestConflictEndsAlike(t *testing.T) {
	var relay *Relay
	d := Start(t, Settings{Example: example.AlWadi, Entries: 3, Prepare: func(d *Deployment, n *Node) {
		if n.Name == "e3" {
			// One node sees the second content from its peers alone.
			relay = NewRelay(t, d.platformAddress)
			n.Platform = relay.Address()
		}
	}})
	relay.Cut()
	d.Platform.Kill()
	d.Publish(changeFile, floor("0.04"))
	d.StartPlatform()
	everyNode(t, recoverTime, d.Nodes[:2], "the conflict is seen", func(n *Node) bool {
		return counter(n, "config.conflict") > 0
	})
	d.StartNode(d.AddNode(nil))
	last := func(n *Node) string {
		all := versions(n)
		return append([]string{""}, all...)[len(all)]
	}
	d.WaitReady()
	everyNode(t, recoverTime, d.Nodes, "the same content is in force", func(n *Node) bool {
		return last(n) != "" && last(n) == last(d.Nodes[0])
	})
	for _, n := range d.Nodes {
		assert.Assert(t, strings.HasPrefix(last(n), "1/"))
	}
}

// TestPlatformStartsAgainLower replaces the platform by one whose revisions are lower: no node goes back, and a
// revision beyond the held one is accepted again.
func TestPlatformStartsAgainLower(t *testing.T) {
	d := Start(t, Settings{Example: example.AlWadi, Entries: 2})
	d.Publish(changeFile, floor("0.01"))
	everyNode(t, inForceTime, d.Nodes, "the change is in force", holds(2))
	d.Platform.Kill()
	d.Publish(changeFile, floor("0.02"))
	d.StartPlatform()
	everyNode(t, recoverTime, d.Nodes, "the lower revision is seen", func(n *Node) bool {
		return counter(n, "config.old") > 0
	})
	for _, n := range d.Nodes {
		assert.Equal(t, status(n).Revision, uint64(2))
	}
	d.Publish(changeFile, floor("0.03"))
	everyNode(t, recoverTime, d.Nodes, "the same revision with other content ends alike", func(n *Node) bool {
		return counter(n, "config.conflict") > 0
	})
	d.Publish(changeFile, floor("0.04"))
	everyNode(t, recoverTime, d.Nodes, "a revision beyond is in force", holds(3))
}
