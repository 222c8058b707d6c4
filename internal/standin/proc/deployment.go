package proc

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/example"
	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

const (
	// readyTimeout bounds the wait for a process to become ready.
	readyTimeout = 20 * time.Second
	// balancerLag is how long an entry VM continues to serve after its readiness check starts to fail, so that the load
	// balancer can notice.
	balancerLag = 500 * time.Millisecond
	// overlayFile is the configuration file that moves the endpoints to loopback addresses.
	overlayFile = "90-loopback.json"
	fileMode    = 0o600
)

// Settings describes a deployment to start.
type Settings struct {
	// Example names a shipped example configuration. Files replace it if they are not empty.
	Example  string
	Files    []folder.File
	EntryVMs int
	// MedianServiceTime is the endpoints' median service time; 0 means 3 ms.
	MedianServiceTime time.Duration
	// Prepare changes the settings of an entry VM before it is started. It may be nil.
	Prepare func(d *Deployment, n *Node)
	// ListedEndpoints are the endpoints that the platform includes in its list of VMs.
	ListedEndpoints []unit.EndpointID
	// ProgramDir is the folder of the entry VMs' program. If it is empty, the program is built from this source tree.
	ProgramDir string
}

// Node is the process of an entry VM with its settings.
type Node struct {
	*Process
	Name string
	// Caller, Operator and Peer are the addresses that the entry VM listens on.
	Caller   unit.Address
	Operator unit.Address
	Peer     unit.Address
	// Advertise is the address at which the other entry VMs reach it. It differs from Peer if a relay is in between.
	Advertise unit.Address
	// Platform is the address of the platform, or of a relay to it.
	Platform unit.Address
	// Peers are the entry VMs that it queries while the platform's list of VMs cannot be read.
	Peers []unit.Address
	// Lag is how long it continues to serve after its readiness check starts to fail.
	Lag time.Duration
}

// Deployment is a running platform with its endpoints and entry VMs.
type Deployment struct {
	t         testing.TB
	Folder    string
	Platform  *Process
	Endpoints *Process
	Nodes     []*Node

	listedEndpoints        []unit.EndpointID
	programDir             string
	platformAddress        unit.Address
	platformControlAddress unit.Address
	endpointControlAddress unit.Address
}

// Start starts the processes of a deployment and waits until every entry VM is ready. They are killed at the end of the
// test.
func Start(t testing.TB, settings Settings) *Deployment {
	t.Helper()
	d := &Deployment{
		t:                      t,
		programDir:             settings.ProgramDir,
		Folder:                 t.TempDir(),
		platformAddress:        FreePort(t),
		platformControlAddress: FreePort(t),
		endpointControlAddress: FreePort(t),
	}
	d.publishFiles(settings)
	d.startEndpoints(settings)
	for range settings.EntryVMs {
		d.AddNode(settings.Prepare)
	}
	d.listedEndpoints = settings.ListedEndpoints
	d.StartPlatform()
	for _, n := range d.Nodes {
		d.StartNode(n)
	}
	d.WaitReady()
	return d
}

// publishFiles writes the initial configuration files to the served folder.
func (d *Deployment) publishFiles(settings Settings) {
	files := settings.Files
	if len(files) == 0 {
		var err error
		files, err = example.Files(settings.Example)
		assert.NilError(d.t, err)
	}
	for _, f := range files {
		d.Publish(f.Name, string(f.Content))
	}
}

// Publish writes a file to the served folder atomically.
func (d *Deployment) Publish(name, content string) {
	d.t.Helper()
	path := filepath.Join(d.Folder, name)
	assert.NilError(d.t, os.WriteFile(path+".new", []byte(content), fileMode))
	assert.NilError(d.t, os.Rename(path+".new", path))
}

// startEndpoints starts the endpoints' process and waits until they listen.
func (d *Deployment) startEndpoints(settings Settings) {
	median := settings.MedianServiceTime
	if median == 0 {
		median = 3 * time.Millisecond
	}
	d.Endpoints = start(d.t, "standin", "endpoint", "--folder", d.Folder, "--overlay", overlayFile,
		"--control", string(d.endpointControlAddress), "--median", median.String())
	Eventually(d.t, readyTimeout, "the endpoints listen", func() bool {
		return strings.Contains(d.Endpoints.Output(), "endpoints ")
	})
}

// AddNode adds an entry VM without starting it. prepare may change its settings and may be nil.
func (d *Deployment) AddNode(prepare func(d *Deployment, n *Node)) *Node {
	n := &Node{
		Name: nodeName(len(d.Nodes)), Caller: FreePort(d.t), Operator: FreePort(d.t), Peer: FreePort(d.t),
		Platform: d.platformAddress, Lag: balancerLag,
	}
	n.Advertise = n.Peer
	if prepare != nil {
		prepare(d, n)
	}
	d.Nodes = append(d.Nodes, n)
	return n
}

// StartPlatform starts or restarts the platform's process. After a restart, its revisions begin at 1 again.
func (d *Deployment) StartPlatform() {
	args := []string{
		"platform", "--folder", d.Folder, "--listen", string(d.platformAddress),
		"--control", string(d.platformControlAddress),
	}
	for _, n := range d.Nodes {
		args = append(args, "--vm", n.Name+"=loopback="+string(n.Advertise))
	}
	for _, id := range d.listedEndpoints {
		args = append(args, "--vm", string(id)+"=loopback=")
	}
	d.Platform = start(d.t, "standin", args...)
	Eventually(d.t, readyTimeout, "the platform listens", func() bool {
		return strings.Contains(d.Platform.Output(), "platform ")
	})
}

// StartNode starts or restarts the process of an entry VM.
func (d *Deployment) StartNode(n *Node) {
	args := []string{
		"serve", "--node", n.Name, "--centre", "loopback", "--caller", string(n.Caller), "--operator", string(n.Operator),
		"--peer", string(n.Peer), "--platform", string(n.Platform),
	}
	if d.programDir == "" {
		// The first version has neither --lag nor --advertise.
		args = append(args, "--lag", n.Lag.String(), "--advertise", string(n.Advertise))
	}
	for _, p := range n.Peers {
		args = append(args, "--peers", string(p))
	}
	n.Process = start(d.t, filepath.Join(d.programDir, "basilspan"), args...)
}

// WaitReady waits until every entry VM is ready.
func (d *Deployment) WaitReady() {
	d.t.Helper()
	for _, n := range d.Nodes {
		Eventually(d.t, readyTimeout, n.Name+" is ready", func() bool { return n.GetStatus("/ready") == http.StatusOK })
	}
}

// CallerAddresses returns the addresses of all entry VMs for callers.
func (d *Deployment) CallerAddresses() []unit.Address {
	var all []unit.Address
	for _, n := range d.Nodes {
		all = append(all, n.Caller)
	}
	return all
}

// GetStatus returns the HTTP status of a GET request to the operator port, or 0 if there was no response.
func (n *Node) GetStatus(path string) int {
	resp, err := http.Get("http://" + string(n.Operator) + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// GetJSON decodes the JSON response to a GET request to the operator port. It reports whether that succeeded.
func (n *Node) GetJSON(path string, into any) bool {
	resp, err := http.Get("http://" + string(n.Operator) + path)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into) == nil
}

// SetFaults replaces the injected faults of one endpoint.
func (d *Deployment) SetFaults(id unit.EndpointID, faults endpoint.Faults) {
	d.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(d.t, err)
	d.post(d.endpointControlAddress, "/faults?endpoint="+url.QueryEscape(string(id)), body)
}

// Stats returns the statistics of one endpoint, or of all endpoints together if id is empty.
func (d *Deployment) Stats(id unit.EndpointID) endpoint.Stats {
	d.t.Helper()
	var stats endpoint.Stats
	resp, err := http.Get("http://" + string(d.endpointControlAddress) + "/stats?endpoint=" + url.QueryEscape(string(id)))
	assert.NilError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(resp.Body).Decode(&stats))
	return stats
}

// SetPlatform changes the platform's behaviour. change is a URL query such as "down=true", "frozen=true" or
// "vm=e1&state=leaving".
func (d *Deployment) SetPlatform(change string) {
	d.t.Helper()
	d.post(d.platformControlAddress, "/platform?"+change, nil)
}

// post sends a control request and expects the status 200.
func (d *Deployment) post(to unit.Address, path string, body []byte) {
	d.t.Helper()
	resp, err := http.Post("http://"+string(to)+path, "application/json", bytes.NewReader(body))
	assert.NilError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(d.t, resp.StatusCode, http.StatusOK)
}
