package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"basilspan/internal/standin/registry"
)

const (
	program  = "target/basilspan"
	template = "deploy/gateway.json.tmpl"
	// readyTimeout bounds the time until all entry VMs are ready.
	readyTimeout = 15 * time.Second
	// caseTimeout ends a run that hangs.
	caseTimeout = 110 * time.Second
	// drainTime is drain_ms of the settings.
	drainTime = 3 * time.Second
	// hostName is the host of all routes.
	hostName = "review.example"
)

// run is one run of a case: its stand-ins, its processes and its record.
type run struct {
	// trouble reports whether the disruption of the case is played.
	trouble bool
	began   time.Time
	store   *registry.Store
	folder  string
	version int

	mu      sync.Mutex
	record  *os.File
	logs    []*os.File
	vms     []*vm
	leafs   []*leaf
	stopped bool
}

// vm is a process of the program under review.
type vm struct {
	node    string
	callers string
	ready   string
	// settings is the name of the settings file.
	settings string
	log      *os.File
	cmd      *exec.Cmd
}

// newRun opens the record in the folder of the case.
func newRun(folder string, trouble bool) (*run, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, began: time.Now(), store: registry.New(), folder: temporary, record: record}
	// The store of the pages has no such header field.
	none := ""
	r.store.EraHeader = &none
	r.note("trouble %v", trouble)
	return r, nil
}

// play runs the case and returns its exit code.
func (r *run) play(run func(*run) bool) int {
	result := make(chan int, 1)
	go func() {
		defer func() {
			if err := recover(); err != nil {
				r.note("the case could not run: %v", err)
				fmt.Fprintln(os.Stderr, "the case could not run:", err)
				result <- exitNotRun
			}
		}()
		if run(r) {
			r.note("the rule held")
			result <- exitHeld
			return
		}
		r.note("the rule was broken")
		result <- exitBroken
	}()
	code := exitNotRun
	select {
	case code = <-result:
	case <-time.After(caseTimeout):
		r.note("the case could not run: it did not end within %v", caseTimeout)
	}
	r.close()
	return code
}

// close ends all processes and stand-ins that the run has started.
func (r *run) close() {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	r.stopped = true
	vms, leafs := r.vms, r.leafs
	r.mu.Unlock()
	for _, v := range vms {
		v.kill()
	}
	for _, l := range leafs {
		l.close()
	}
	r.store.Close()
	for _, f := range r.logs {
		_ = f.Close()
	}
	_ = os.RemoveAll(r.folder)
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// check panics on an error that keeps the case from running.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddress returns an address of loopback that nothing listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// startVMs starts entry VMs with the template of the deploy file and the settings of a small deployment, and waits until
// all are ready.
func (r *run) startVMs(n int) {
	text, err := os.ReadFile(template)
	check(err)
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress()
	}
	for i := range n {
		v := &vm{node: fmt.Sprintf("front-%d", i+1), callers: freeAddress(), ready: freeAddress()}
		metrics := freeAddress()
		settings := strings.NewReplacer(
			"{{node_name}}", v.node, "{{zone}}", "zone-a", "{{listen.front}}", v.callers, "{{listen.ready}}", v.ready,
			"{{listen.control}}", peers[i], "{{ip}}:7399", metrics, "{{seeds}}", strings.Join(peers[:min(n, 3)], ","),
			"{{platform.address}}", r.store.Address(), "{{limits.cpu_share}}", "0.4", "{{bounds.grace_s}}", "6",
			"{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "54",
			"{{bounds.budget_window_s}}", "10", "{{bounds.stable_window_ms}}", "4000", "{{bounds.drain_ms}}", "3000",
			"{{first_start}}", "true",
		).Replace(string(text))
		v.settings = filepath.Join(r.folder, v.node+".json")
		check(os.WriteFile(v.settings, []byte(settings), 0o600))
		v.log, err = os.Create(filepath.Join(r.folder, v.node+".log"))
		check(err)
		r.mu.Lock()
		r.logs = append(r.logs, v.log)
		r.vms = append(r.vms, v)
		r.mu.Unlock()
	}
	r.launch()
}

// launch starts the processes of all entry VMs and waits until all are ready.
func (r *run) launch() {
	for _, v := range r.vms {
		cmd := exec.Command(program, "gateway")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILSPAN_CONFIG=" + v.settings}
		cmd.Stdout, cmd.Stderr = v.log, v.log
		r.mu.Lock()
		err := cmd.Start()
		if err == nil {
			v.cmd = cmd
		}
		r.mu.Unlock()
		check(err)
	}
	for _, v := range r.vms {
		r.awaitReady(v)
	}
	r.note("%d entry VMs are ready", len(r.vms))
}

// kill ends the process of an entry VM, if it has one, and waits for its end.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
}

// restartAll kills the processes of all entry VMs at the same moment and starts them again after down, as at any start
// but the first. meanwhile is called while they are down.
func (r *run) restartAll(down time.Duration, meanwhile func()) {
	for _, v := range r.vms {
		_ = v.cmd.Process.Kill()
	}
	for _, v := range r.vms {
		v.kill()
		settings, err := os.ReadFile(v.settings)
		check(err)
		settings = bytes.Replace(settings, []byte(`"fresh": true`), []byte(`"fresh": false`), 1)
		check(os.WriteFile(v.settings, settings, 0o600))
	}
	r.note("all entry VMs were killed")
	meanwhile()
	time.Sleep(down)
	r.launch()
}

// awaitReady waits until an entry VM is ready.
func (r *run) awaitReady(v *vm) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + v.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic("entry VM " + v.node + " is not ready")
}

// publish writes a routing table to the store.
func (r *run) publish(routes, services []map[string]any) {
	r.version += 3
	value, err := json.Marshal(map[string]any{
		"version": r.version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000, "idle_timeout_ms": 30000,
		},
	})
	check(err)
	r.store.Put("op/config", string(bytes.TrimSpace(value)))
	r.note("configuration %d acknowledged", r.version)
}

// service returns the published settings of a service.
func service(name string, connections int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false,
	}
}
