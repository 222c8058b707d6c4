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
	// readyTimeout bounds the wait for a process to be ready.
	readyTimeout = 20 * time.Second
	// balancerLag is how long an entry VM serves on after it says that it is not ready.
	balancerLag = 500 * time.Millisecond
	// overlayFile is the file that moves the endpoints to loopback.
	overlayFile = "90-loopback.json"
	// fileMode is the mode of the files that a test publishes.
	fileMode = 0o600
)

// Settings describe a deployment.
type Settings struct {
	// Example names a shipped example; Files replace it when they are not empty.
	Example  string
	Files    []folder.File
	EntryVMs int
	// MedianServiceTime is the endpoints' service time.
	MedianServiceTime time.Duration
	// Prepare changes an entry VM before it is started; it may be nil.
	Prepare func(d *Deployment, n *Node)
	// ListedEndpoints are the endpoints that the platform's list shows.
	ListedEndpoints []unit.EndpointID
	// ProgramDir is the folder of the entry VMs' program; empty means the one that is built from this tree.
	ProgramDir string
}

// Node is one entry VM's process and its addresses.
type Node struct {
	*Process
	Name     string
	Caller   unit.Address
	Operator unit.Address
	Peer     unit.Address
	// Advertise is the address at which the others reach it when that is not Peer.
	Advertise unit.Address
	// Platform is the address of the platform when that is not the deployment's.
	Platform unit.Address
	// Peers are asked for while the platform's list cannot be read.
	Peers []unit.Address
	// Lag is how long it serves on after it says that it is not ready.
	Lag time.Duration
}

// Deployment is a running deployment.
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

// Start starts the processes and waits until every entry VM is ready.
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

// Publish writes a file of the served folder in one step.
func (d *Deployment) Publish(name, content string) {
	d.t.Helper()
	path := filepath.Join(d.Folder, name)
	assert.NilError(d.t, os.WriteFile(path+".new", []byte(content), fileMode))
	assert.NilError(d.t, os.Rename(path+".new", path))
}

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

// AddNode adds an entry VM without starting it; prepare may be nil.
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

// StartPlatform starts the platform's process, the first time or again; its revisions then begin anew.
func (d *Deployment) StartPlatform() {
	args := []string{
		"platform", "--folder", d.Folder, "--listen", string(d.platformAddress), "--control", string(d.platformControlAddress),
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

// StartNode starts the process of an entry VM, the first time or again.
func (d *Deployment) StartNode(n *Node) {
	args := []string{
		"serve", "--node", n.Name, "--centre", "loopback", "--caller", string(n.Caller), "--operator", string(n.Operator),
		"--peer", string(n.Peer), "--platform", string(n.Platform),
	}
	if d.programDir == "" {
		// The first version knows neither a lag nor peers.
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

// CallerAddresses gives the callers' addresses of all entry VMs.
func (d *Deployment) CallerAddresses() []unit.Address {
	var all []unit.Address
	for _, n := range d.Nodes {
		all = append(all, n.Caller)
	}
	return all
}

// GetStatus gives the status of a read from the operator port, or 0.
func (n *Node) GetStatus(path string) int {
	resp, err := http.Get("http://" + string(n.Operator) + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// GetJSON decodes a JSON answer of the operator port; it says false when there is none.
func (n *Node) GetJSON(path string, into any) bool {
	resp, err := http.Get("http://" + string(n.Operator) + path)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into) == nil
}

// SetFaults changes one endpoint's behaviour.
func (d *Deployment) SetFaults(id unit.EndpointID, faults endpoint.Faults) {
	d.t.Helper()
	body, err := json.Marshal(faults)
	assert.NilError(d.t, err)
	d.post(d.endpointControlAddress, "/faults?endpoint="+url.QueryEscape(string(id)), body)
}

// Stats gives the counts of one endpoint, or of all when id is empty.
func (d *Deployment) Stats(id unit.EndpointID) endpoint.Stats {
	d.t.Helper()
	var stats endpoint.Stats
	resp, err := http.Get("http://" + string(d.endpointControlAddress) + "/stats?endpoint=" + url.QueryEscape(string(id)))
	assert.NilError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(d.t, json.NewDecoder(resp.Body).Decode(&stats))
	return stats
}

// SetPlatform changes the platform's behaviour, for example with "down=true", "frozen=true" or "vm=e1&state=leaving".
func (d *Deployment) SetPlatform(change string) {
	d.t.Helper()
	d.post(d.platformControlAddress, "/platform?"+change, nil)
}

func (d *Deployment) post(to unit.Address, path string, body []byte) {
	d.t.Helper()
	resp, err := http.Post("http://"+string(to)+path, "application/json", bytes.NewReader(body))
	assert.NilError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(d.t, resp.StatusCode, http.StatusOK)
}
