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
	// readyTimeout bounds the time until a new entry VM is ready.
	readyTimeout = 20 * time.Second
	// restartPause is the time between the end of a VM's process and the start of the next one.
	restartPause = 200 * time.Millisecond
	// minStall is the minimum delay of a timer that counts as a scheduling stall of the machine that runs the soak.
	// stallPeriod is the timer's period.
	minStall    = 100 * time.Millisecond
	stallPeriod = 20 * time.Millisecond
	// replicas is the number of endpoints of each shard. movedServiceCount is the number of services that PathMoved
	// rotates through. It is larger than the number of tables that a VM can be behind.
	replicas          = 2
	movedServiceCount = 8
	// hostName is the host of all routes.
	hostName = "soak"
	// tableKey is the registry key of the routing table.
	tableKey = "op/config"
	// evacuationKey is the beginning of the registry key of the order to evacuate a data centre.
	evacuationKey = "op/evacuate/"
)

// defaultBounds are the bounds that the runs are checked against. The times are those of the platform's smallest
// deployments.
var defaultBounds = Bounds{
	TopK: 4, MinShare: 0.6, Timeout: 2 * time.Second, ApplyTime: 3 * time.Second, DrainTime: 3 * time.Second,
	CalmTime: 4 * time.Second, Ratio: 0.2, Slack: 60, Window: 10 * time.Second, Grace: 4 * time.Second,
}

// deployment is a set of entry VMs under test with their registry and endpoints.
type deployment struct {
	t     *testing.T
	store *registry.Store
	// endpointLinks are the relays in front of the endpoints, in the same order.
	endpoints     []*shard.Endpoint
	endpointLinks []*proc.Relay
	vms           []*vm
	history       *History

	mu           sync.Mutex
	tableVersion unit.TableVersion
	// callerFactor is the current number of callers as a multiple of callerCount.
	callerFactor int
	// registrationChanged holds the endpoints whose registration an active fault changes.
	registrationChanged map[int]bool

	publishMu sync.Mutex
	// published holds the values that the operators and the endpoints have published last.
	published map[string]string

	quit chan struct{}
	wg   sync.WaitGroup
}

// vm is one entry VM. Its process is restarted whenever it ends.
type vm struct {
	number         int
	settings       string
	callersAddress unit.Address
	readyAddress   unit.Address
	// registryLink and peerLink are the relays that faults are injected into.
	registryLink *proc.Relay
	peerLink     *proc.Relay

	mu       sync.Mutex
	process  *proc.Process
	lifetime Lifetime
	// inRotation reports whether the balancer sends new connections to this VM.
	inRotation bool
}

// tableShards returns the shards of a table version. The set changes with every second version.
func tableShards(v unit.TableVersion) []unit.ServiceName {
	if v%4 < 2 {
		return []unit.ServiceName{"a", "b", "c", "d"}
	}
	return []unit.ServiceName{"c", "d", "e", "f"}
}

// movedService returns the service that PathMoved is routed to in a table version.
func movedService(v unit.TableVersion) unit.ServiceName {
	return unit.ServiceName(fmt.Sprint("m", v%movedServiceCount))
}

// padRecord returns a record of recordSize bytes that begins with text.
func padRecord(text string) string {
	return text + strings.Repeat(".", recordSize-len(text))
}

// newDeployment starts the stand-ins and the given number of entry VMs, and waits until all are ready.
func newDeployment(t *testing.T, vms int, bounds Bounds) *deployment {
	t.Helper()
	dep := &deployment{
		t: t, store: registry.New(), callerFactor: 1, registrationChanged: make(map[int]bool), quit: make(chan struct{}),
		published: make(map[string]string),
		history: &History{
			Bounds: bounds, Records: make(map[unit.ServiceName]string),
			Services:       make(map[unit.EndpointID]unit.ServiceName),
			VMFaults:       make(map[int][]Span),
			EndpointFaults: make(map[unit.EndpointID][]Span),
		},
	}
	t.Cleanup(dep.store.Close)
	for _, s := range []unit.ServiceName{"a", "b", "c", "d", "e", "f"} {
		dep.addService(s, replicas)
	}
	for i := range movedServiceCount {
		dep.addService(movedService(unit.TableVersion(i)), 1)
	}
	dep.publishTable()
	dep.startVMs(vms)
	return dep
}

// centreOf returns the data centre of the endpoints with a number within their service. All are remote to the VMs.
func centreOf(number int) string {
	return fmt.Sprint("z", number)
}

// addService starts n endpoints of a service behind relays and registers them.
func (dep *deployment) addService(service unit.ServiceName, n int) {
	body := padRecord(string(service)+"1") + padRecord(string(service)+"2")
	dep.history.Records[service] = body
	for i := range n {
		id := unit.EndpointID(fmt.Sprint(service, "-", i))
		e := shard.New(string(service), string(id), body)
		e.Born = time.Now()
		e.Centre = centreOf(i)
		dep.t.Cleanup(e.Close)
		dep.endpoints = append(dep.endpoints, e)
		dep.endpointLinks = append(dep.endpointLinks, proc.NewRelay(dep.t, unit.Address(e.Address())))
		dep.history.Services[id] = service
		dep.register(len(dep.endpoints)-1, "ready")
	}
}

// publish writes a value to the registry, and unpublish deletes one. publishAgain repeats the last of each key, the table
// last, since a restore of the registry may have taken it back.
func (dep *deployment) publish(key, value string) {
	dep.publishMu.Lock()
	defer dep.publishMu.Unlock()
	dep.store.Put(key, value)
	dep.published[key] = value
}

func (dep *deployment) unpublish(key string) {
	dep.publishMu.Lock()
	defer dep.publishMu.Unlock()
	dep.store.Delete(key)
	delete(dep.published, key)
}

func (dep *deployment) publishAgain() {
	dep.publishOthersAgain()
	dep.publishMu.Lock()
	defer dep.publishMu.Unlock()
	dep.store.Put(tableKey, dep.published[tableKey])
}

// publishOthersAgain repeats all but the table.
func (dep *deployment) publishOthersAgain() {
	dep.publishMu.Lock()
	defer dep.publishMu.Unlock()
	for _, e := range dep.endpoints {
		if value, ok := dep.published[e.Key()]; ok {
			dep.store.Put(e.Key(), value)
		} else {
			dep.store.Delete(e.Key())
		}
	}
	for i := range replicas {
		key := evacuationKey + centreOf(i)
		if value, ok := dep.published[key]; ok {
			dep.store.Put(key, value)
		} else {
			dep.store.Delete(key)
		}
	}
}

// register writes the registration of an endpoint, with its relay's address and the given state.
func (dep *deployment) register(i int, state string) {
	e := dep.endpoints[i]
	dep.publish(e.Key(), e.RegistrationAt(string(dep.endpointLinks[i].Address()), state))
}

// publishTable writes the next routing table to the registry.
func (dep *deployment) publishTable() {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.tableVersion++
	v := dep.tableVersion
	route := func(path Path, kind, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route_kind":%q,"timeout_ms":%d,"target_latency_ms":500,
			"max_attempts":2,"priority":1,%s}`, path, hostName, path, kind, defaultBounds.Timeout.Milliseconds(), rest)
	}
	names, err := json.Marshal(tableShards(v))
	assert.NilError(dep.t, err)
	routes := []string{
		route(PathAll, "idempotent", fmt.Sprintf(`"gather":%s,"top_k":%d,"min_success_share":%v`, names,
			defaultBounds.TopK, defaultBounds.MinShare)),
		route(PathOne, "idempotent", fmt.Sprintf(`"service":%q`, serviceOne)),
		route(PathOnce, "non_idempotent", fmt.Sprintf(`"service":%q`, serviceOnce)),
		route(PathMoved, "idempotent", fmt.Sprintf(`"service":%q`, movedService(v))),
	}
	dep.history.update(func(h *History) {
		h.Tables = append(h.Tables, Table{
			Version: v, Published: time.Now(), Shards: tableShards(v), MovedService: movedService(v),
		})
	})
	dep.publish(tableKey, fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[],"limits":{}}`, v,
		strings.Join(routes, ",")))
}

// startVMs starts the entry VMs' processes and waits until all are ready. The first two VMs are the seeds.
func (dep *deployment) startVMs(n int) {
	for i := range n {
		v := &vm{
			number: i, callersAddress: proc.FreePort(dep.t), readyAddress: proc.FreePort(dep.t),
			registryLink: proc.NewRelay(dep.t, unit.Address(dep.store.Address())), inRotation: true,
		}
		dep.vms = append(dep.vms, v)
	}
	addresses := make([]unit.Address, n)
	var seeds []string
	for i, v := range dep.vms {
		addresses[i] = proc.FreePort(dep.t)
		v.peerLink = proc.NewRelay(dep.t, addresses[i])
		if i < 2 {
			seeds = append(seeds, string(v.peerLink.Address()))
		}
	}
	for i, v := range dep.vms {
		v.settings = dep.writeSettings(v, addresses[i], strings.Join(seeds, ","))
		dep.wg.Add(1)
		go dep.supervise(v)
	}
	for _, v := range dep.vms {
		proc.Eventually(dep.t, readyTimeout, fmt.Sprintf("VM %d is ready", v.number), v.isReady)
	}
}

// writeSettings writes the settings file of a VM and returns its path.
func (dep *deployment) writeSettings(v *vm, peers unit.Address, seeds string) string {
	bounds := dep.history.Bounds
	content := fmt.Sprintf(`{"node":"vm%d","centre":"z","listen":{"callers":%q,"ready":%q,"peers":%q,"metrics":""},
		"seeds":%q,"registry":%q,"power":1,"grace":%v,"extra":{"ratio":%v,"slack":%v,"window":%v},"calm":%d,"fresh":false,
		"level":"info"}`,
		v.number, v.callersAddress, v.readyAddress, peers, seeds, v.registryLink.Address(), bounds.Grace.Seconds(),
		bounds.Ratio, bounds.Slack, bounds.Window.Seconds(), bounds.CalmTime.Milliseconds())
	path := filepath.Join(dep.t.TempDir(), "settings.json")
	const mode = 0o600
	assert.NilError(dep.t, os.WriteFile(path, []byte(content), mode))
	return path
}

// supervise starts a VM's process, records its lifetime and restarts it whenever it ends, until the run is over.
func (dep *deployment) supervise(v *vm) {
	defer dep.wg.Done()
	for {
		p := proc.Run(dep.t, "basilspan", "gateway", "--settings", v.settings)
		v.mu.Lock()
		v.process, v.lifetime = p, Lifetime{VM: v.number, Started: time.Now()}
		v.mu.Unlock()
		<-p.Done()
		v.mu.Lock()
		lifetime := v.lifetime
		lifetime.Ended, lifetime.ExitCode, lifetime.Log = time.Now(), p.ExitCode(), p.Output()
		v.process = nil
		v.mu.Unlock()
		dep.history.update(func(h *History) {
			h.Lifetimes = append(h.Lifetimes, lifetime)
			// The bounds on times do not apply to the VM from the end of this process until the next one has run for
			// CalmTime.
			h.VMFaults[v.number] = append(h.VMFaults[v.number], Span{From: lifetime.Ended, To: time.Now().Add(restartPause)})
		})
		select {
		case <-dep.quit:
			return
		case <-time.After(restartPause):
		}
	}
}

// isReady reports whether the VM's readiness check succeeds.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: healthCheckPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + string(v.readyAddress) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signalProcess calls record with the lifetime of the running process and then send with the process. It does nothing
// if no process is running.
func (v *vm) signalProcess(send func(p *proc.Process), record func(l *Lifetime)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	record(&v.lifetime)
	send(v.process)
}

// recordStalls records as GlobalFaults the periods in which this test got no processor time; the entry VMs may have got
// none either.
func (dep *deployment) recordStalls() {
	defer dep.wg.Done()
	last := time.Now()
	for {
		select {
		case <-dep.quit:
			return
		case <-time.After(stallPeriod):
		}
		now := time.Now()
		if now.Sub(last) > stallPeriod+minStall {
			from := last
			dep.history.update(func(h *History) {
				h.GlobalFaults = append(h.GlobalFaults, Span{From: from, To: now})
				h.Stalls = append(h.Stalls, Span{From: from, To: now})
			})
		}
		last = now
	}
}

// finish stops all processes as planned, waits for their end, and returns the history with the runs and calls that the
// endpoints recorded.
func (dep *deployment) finish() *History {
	close(dep.quit)
	for _, v := range dep.vms {
		dep.stop(v)
	}
	dep.wg.Wait()
	h := dep.history
	for _, e := range dep.endpoints {
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
