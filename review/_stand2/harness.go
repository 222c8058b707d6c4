// Command stand2 plays the cases of the second review: it starts entry VMs by the command of the deploy file, as processes
// of their own, against a store, leafs and clients on loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"basilspan/internal/standin/registry"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the record of one run: what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// notRun ends a case that could not run.
type notRun struct{ error }

func must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

// world has what a case starts, and ends it.
type world struct {
	rec   *record
	dir   string
	root  string
	store *registry.Store
	nodes []*node
	ends  []func()
}

func newWorld(rec *record) *world {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	w := &world{rec: rec, root: root, dir: dir, store: registry.New()}
	noEra := ""
	w.store.EraHeader = &noEra
	w.ends = append(w.ends, func() { _ = os.RemoveAll(dir) }, w.store.Close)
	return w
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
}

// freePort returns a port that is free on the address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// node is one entry VM.
type node struct {
	w        *world
	name     string
	ip       string
	settings string
	fields   map[string]string
	front    string
	ready    string
	control  string
	cmd      *exec.Cmd
	done     chan struct{}
	exit     string
}

// newNode prepares an entry VM with the settings of a small deployment. fields replace fields of its settings.
func (w *world) newNode(i int, fields map[string]string) *node {
	ip := fmt.Sprintf("127.0.20.%d", i)
	n := &node{w: w, name: fmt.Sprintf("front-a-%d", i), ip: ip}
	n.front, n.ready, n.control = freePort(ip), freePort(ip), freePort(ip)
	n.fields = map[string]string{
		"node_name": n.name, "zone": "zone-a", "listen.front": n.front, "listen.ready": n.ready,
		"listen.control": n.control, "ip": ip, "seeds": n.control, "platform.address": w.store.Address(),
		"limits.cpu_share": "0.4", "limits.memory_mb": "284", "bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2",
		"bounds.retry_budget_slack": "52", "bounds.budget_window_s": "10", "bounds.stable_window_ms": "4000",
		"bounds.drain_ms": "3000", "first_start": "true",
	}
	for k, v := range fields {
		n.fields[k] = v
	}
	n.settings = filepath.Join(w.dir, n.name+".conf")
	w.nodes = append(w.nodes, n)
	return n
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#bounds\.cold_overshoot\}\}.*?\{\{/bounds\.cold_overshoot\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills in a template of the deploy file.
func (n *node) render(text string) string {
	return placeholder.ReplaceAllStringFunc(section.ReplaceAllString(text, ""), func(p string) string {
		v, ok := n.fields[strings.Trim(p, "{}")]
		if !ok {
			panic(notRun{fmt.Errorf("the template needs %s", p)})
		}
		return v
	})
}

func (n *node) writeSettings() {
	t, err := os.ReadFile("deploy/gateway.json.tmpl")
	must(err)
	must(os.WriteFile(n.settings, []byte(n.render(string(t))), 0o600))
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the process by the command of the deploy file.
func (n *node) start() {
	n.writeSettings()
	deploy, err := os.ReadFile("deploy/system.toml")
	must(err)
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		panic(notRun{fmt.Errorf("the deploy file has no command")})
	}
	words := strings.Fields(n.render(string(m[1])))
	log, err := os.Create(filepath.Join(n.w.dir, n.name+fmt.Sprintf("-%d.log", time.Now().UnixNano())))
	must(err)
	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "BASILSPAN_CONFIG=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
	n.done = make(chan struct{})
	done, cmd := n.done, n.cmd
	go func() {
		err := cmd.Wait()
		n.exit = fmt.Sprint(cmd.ProcessState, " ", err)
		_ = log.Close()
		close(done)
	}()
	n.w.rec.printf("%s started", n.name)
}

func (n *node) running() bool {
	if n.done == nil {
		return false
	}
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (n *node) signal(s syscall.Signal) {
	n.w.rec.printf("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

func (n *node) kill() {
	if n.running() {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
}

// logs returns the lines that the process has written.
func (n *node) logs() string {
	names, _ := filepath.Glob(filepath.Join(n.w.dir, n.name+"-*.log"))
	var all []byte
	for _, name := range names {
		b, _ := os.ReadFile(name)
		all = append(all, b...)
	}
	return string(all)
}

// awaitReady waits until the entry VM says that it is ready.
func (n *node) awaitReady(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if n.isReady() {
			n.w.rec.printf("%s is ready", n.name)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(notRun{fmt.Errorf("%s did not become ready: %s", n.name, n.logs())})
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route map[string]any

// publish writes a configuration to the store and returns when that was acknowledged.
func (w *world) publish(version int, routes []route, services []string, limits map[string]any) time.Time {
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{"name": s, "max_connections": 25, "health_path": "/health"})
	}
	if limits == nil {
		limits = map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		}
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": all, "limits": limits})
	must(err)
	w.store.Put("op/config", string(b))
	w.rec.printf("store acknowledges configuration %d", version)
	return time.Now()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// ask sends one request on a connection of its own and reads the answer.
func ask(address, method, host, path, id string, deadlineMS int, body []byte, wait time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nBasilspan-Request-Id: " + id +
		"\r\nBasilspan-Deadline-Ms: " + strconv.Itoa(deadlineMS) + "\r\n"
	if len(body) > 0 || method == "POST" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+string(body)); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b, err: err}
}
