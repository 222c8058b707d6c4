package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/proc"
	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

const (
	// readyTimeout bounds the start of an entry VM.
	readyTimeout = 20 * time.Second
	// restartPause is the time between the end of a process and the start of the next one of its VM.
	restartPause = 200 * time.Millisecond
	// minStall is the least lateness of a timer that counts as a stall of the machine that the soak runs on, and
	// stallPeriod the timer's period.
	minStall    = 100 * time.Millisecond
	stallPeriod = 20 * time.Millisecond
	// replicas is how many endpoints a shard has, and movedServices how many services PathMoved goes to in turn: more than
	// a VM can be tables behind.
	replicas          = 2
	movedServiceCount = 8
	// hostName is the host of all routes.
	hostName = "soak"
)

// defaultBounds are the bounds that the runs are held to; the times are those of the platform's smallest deployments.
var defaultBounds = Bounds{
	TopK: 4, MinShare: 0.6, Timeout: 2 * time.Second, ApplyTime: 3 * time.Second, DrainTime: 3 * time.Second, CalmTime: 4 * time.Second,
	Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Grace: 4 * time.Second,
}

// deployment is a deployment under test.
type deployment struct {
	t     *testing.T
	store *registry.Store
	// endpoints and links are in the same order.
	endpoints     []*shard.Endpoint
	endpointLinks []*proc.Relay
	vms           []*vm
	history       *History

	mu           sync.Mutex
	tableVersion unit.TableVersion
	// callerFactor is how many times the usual number of callers there are.
	callerFactor int
	// registrationChanged are the endpoints whose registration a fault has changed.
	registrationChanged map[int]bool

	quit chan struct{}
	wg   sync.WaitGroup
}

// vm is one entry VM, whose process is started again whenever it ends.
type vm struct {
	number         int
	settings       string
	callersAddress unit.Address
	readyAddress   unit.Address
	// registryLink and peers are the links that faults are injected into.
	registryLink *proc.Relay
	peerLink     *proc.Relay

	mu       sync.Mutex
	process  *proc.Process
	lifetime Lifetime
	// inRotation says whether the balancer sends callers here.
	inRotation bool
}

// tableShards gives the shards of a table: every other table names another set.
func tableShards(v unit.TableVersion) []unit.ServiceName {
	if v%4 < 2 {
		return []unit.ServiceName{"a", "b", "c", "d"}
	}
	return []unit.ServiceName{"c", "d", "e", "f"}
}

func movedService(v unit.TableVersion) unit.ServiceName {
	return unit.ServiceName(fmt.Sprint("m", v%movedServiceCount))
}

// padRecord gives a record of 16 bytes that begins with text.
func padRecord(text string) string {
	return text + strings.Repeat(".", recordSize-len(text))
}

// newDeployment starts the stand-ins and that many entry VMs, and waits until all are ready.
func newDeployment(t *testing.T, vms int) *deployment {
	t.Helper()
	w := &deployment{
		t: t, store: registry.New(), callerFactor: 1, registrationChanged: make(map[int]bool), quit: make(chan struct{}),
		history: &History{
			Bounds: defaultBounds, Records: make(map[unit.ServiceName]string), Services: make(map[unit.EndpointID]unit.ServiceName),
			VMFaults: make(map[int][]Span),
		},
	}
	t.Cleanup(w.store.Close)
	for _, s := range []unit.ServiceName{"a", "b", "c", "d", "e", "f"} {
		w.addService(s, replicas)
	}
	for i := range movedServiceCount {
		w.addService(movedService(unit.TableVersion(i)), 1)
	}
	w.publishTable()
	w.startVMs(vms)
	return w
}

func (w *deployment) addService(service unit.ServiceName, n int) {
	body := padRecord(string(service)+"1") + padRecord(string(service)+"2")
	w.history.Records[service] = body
	for i := range n {
		id := unit.EndpointID(fmt.Sprint(service, "-", i))
		e := shard.New(string(service), string(id), body)
		w.t.Cleanup(e.Close)
		w.endpoints = append(w.endpoints, e)
		w.endpointLinks = append(w.endpointLinks, proc.NewRelay(w.t, unit.Address(e.Address())))
		w.history.Services[id] = service
		w.register(len(w.endpoints)-1, "ready")
	}
}

// register publishes an endpoint in that state, at its link's address.
func (w *deployment) register(i int, state string) {
	e := w.endpoints[i]
	w.store.Put(e.Key(), e.RegistrationAt(string(w.endpointLinks[i].Address()), state))
}

// publishTable publishes the next routing table.
func (w *deployment) publishTable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tableVersion++
	v := w.tableVersion
	route := func(path Path, kind, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route_kind":%q,"timeout_ms":%d,"target_latency_ms":500,
			"max_attempts":2,"priority":1,%s}`, path, hostName, path, kind, defaultBounds.Timeout.Milliseconds(), rest)
	}
	names, err := json.Marshal(tableShards(v))
	assert.NilError(w.t, err)
	routes := []string{
		route(PathAll, "idempotent", fmt.Sprintf(`"gather":%s,"top_k":%d,"min_success_share":%v`, names, defaultBounds.TopK, defaultBounds.MinShare)),
		route(PathOne, "idempotent", fmt.Sprintf(`"service":%q`, serviceOne)),
		route(PathOnce, "non_idempotent", fmt.Sprintf(`"service":%q`, serviceOnce)),
		route(PathMoved, "idempotent", fmt.Sprintf(`"service":%q`, movedService(v))),
	}
	w.history.update(func(h *History) {
		h.Tables = append(h.Tables, Table{Version: v, Published: time.Now(), Shards: tableShards(v), MovedService: movedService(v)})
	})
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[],"limits":{}}`, v,
		strings.Join(routes, ",")))
}

// startVMs starts the processes; the first two are the seeds.
func (w *deployment) startVMs(n int) {
	for i := range n {
		v := &vm{
			number: i, callersAddress: proc.FreePort(w.t), readyAddress: proc.FreePort(w.t),
			registryLink: proc.NewRelay(w.t, unit.Address(w.store.Address())), inRotation: true,
		}
		w.vms = append(w.vms, v)
	}
	addresses := make([]unit.Address, n)
	var seeds []string
	for i, v := range w.vms {
		addresses[i] = proc.FreePort(w.t)
		v.peerLink = proc.NewRelay(w.t, addresses[i])
		if i < 2 {
			seeds = append(seeds, string(v.peerLink.Address()))
		}
	}
	for i, v := range w.vms {
		v.settings = w.writeSettings(v, addresses[i], strings.Join(seeds, ","))
		w.wg.Add(1)
		go w.supervise(v)
	}
	for _, v := range w.vms {
		proc.Eventually(w.t, readyTimeout, fmt.Sprintf("VM %d is ready", v.number), v.isReady)
	}
}

// writeSettings writes the settings file of a VM.
func (w *deployment) writeSettings(v *vm, peers unit.Address, seeds string) string {
	content := fmt.Sprintf(`{"node":"vm%d","centre":"z","listen":{"callers":%q,"ready":%q,"peers":%q,"metrics":""},
		"seeds":%q,"registry":%q,"power":1,"grace":%v,"extra":{"ratio":%v,"slack":%v,"window":%v},"calm":%d,"fresh":false,
		"level":"info"}`,
		v.number, v.callersAddress, v.readyAddress, peers, seeds, v.registryLink.Address(), defaultBounds.Grace.Seconds(), defaultBounds.Ratio, defaultBounds.Slack,
		defaultBounds.Window.Seconds(), defaultBounds.CalmTime.Milliseconds())
	path := filepath.Join(w.t.TempDir(), "settings.json")
	const mode = 0o600
	assert.NilError(w.t, os.WriteFile(path, []byte(content), mode))
	return path
}

// supervise starts a VM's process and starts it again whenever it has ended, until the run is over.
func (w *deployment) supervise(v *vm) {
	defer w.wg.Done()
	for {
		p := proc.Run(w.t, "basilspan", "gateway", "--settings", v.settings)
		v.mu.Lock()
		v.process, v.lifetime = p, Lifetime{VM: v.number, Started: time.Now()}
		v.mu.Unlock()
		<-p.Done()
		v.mu.Lock()
		life := v.lifetime
		life.Ended, life.ExitCode, life.Log = time.Now(), p.ExitCode(), p.Output()
		v.process = nil
		v.mu.Unlock()
		w.history.update(func(h *History) {
			h.Lifetimes = append(h.Lifetimes, life)
			// From its end until the next process has been calm for long enough, the VM is not held to times.
			h.VMFaults[v.number] = append(h.VMFaults[v.number], Span{From: life.Ended, To: time.Now().Add(restartPause)})
		})
		select {
		case <-w.quit:
			return
		case <-time.After(restartPause):
		}
	}
}

// isReady says whether the VM answers the balancer that it takes callers.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: healthCheckPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + string(v.readyAddress) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signalProcess hands the running process to send, and notes in the life what was done; without a process it does nothing.
func (v *vm) signalProcess(send func(p *proc.Process), note func(l *Lifetime)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	note(&v.lifetime)
	send(v.process)
}

// recordStalls notes when the machine that the soak runs on does not give it the processor: the entry VMs may have had
// none either.
func (w *deployment) recordStalls() {
	defer w.wg.Done()
	last := time.Now()
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(stallPeriod):
		}
		now := time.Now()
		if now.Sub(last) > stallPeriod+minStall {
			from := last
			w.history.update(func(h *History) { h.GlobalFaults = append(h.GlobalFaults, Span{From: from, To: now}) })
		}
		last = now
	}
}

// finish ends all processes as planned, waits, and gives the history with what the endpoints saw.
func (w *deployment) finish() *History {
	close(w.quit)
	for _, v := range w.vms {
		w.stop(v)
	}
	w.wg.Wait()
	h := w.history
	for _, e := range w.endpoints {
		id, service := unit.EndpointID(e.ID), unit.ServiceName(e.Service)
		for _, r := range e.Runs() {
			h.Runs = append(h.Runs, Run{Run: r, Endpoint: id, Service: service})
		}
		for _, a := range e.Arrivals() {
			h.Calls = append(h.Calls, Call{Arrival: a, Endpoint: id, Service: service})
		}
	}
	return h
}
