package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"

	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

const (
	// waitTimeout bounds the wait for what has to happen.
	waitTimeout = 20 * time.Second
	// shortGrace is a grace time with hardly any wait for the balancer.
	shortGrace = 400 * time.Millisecond
)

// fixture is a gateway between a registry and endpoints of the services a, b and c, two each. The route /all/ gathers
// all three, /one/ goes to a and may be repeated, and /once/ goes to a and must not.
type fixture struct {
	t         *testing.T
	store     *registry.Store
	endpoints map[string]*shard.Endpoint
	gateway   *Gateway
	// version is that of the newest routing table.
	version int
	// grace is how long the gateway's stop may take, and log what it writes.
	grace  time.Duration
	log    *syncBuffer
	closed bool
}

// record gives a record of 16 bytes that begins with text.
func record(text string) string {
	return text + strings.Repeat(".", 16-len(text))
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	hlog.SetOutput(io.Discard)
	w := &fixture{t: t, store: registry.New(), endpoints: make(map[string]*shard.Endpoint), grace: shortGrace, log: &syncBuffer{}}
	for _, service := range []string{"a", "b", "c"} {
		for i := range 2 {
			id := fmt.Sprint(service, i)
			w.endpoints[id] = shard.New(service, id, record(service+"1")+record(service+"2"))
			w.store.Put("servers/"+id, w.endpoints[id].Registration("ready"))
		}
	}
	t.Cleanup(w.close)
	return w
}

// start publishes the routes and starts the gateway.
func (w *fixture) start() *fixture {
	w.t.Helper()
	w.publish(`"/one/"`)
	w.startGateway()
	w.await(func() bool { return w.gateway.Ready() })
	return w
}

// startGateway starts the gateway.
func (w *fixture) startGateway() {
	w.t.Helper()
	settings := config.Settings{
		Node: "n1", Centre: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0",
		Registry: unit.Address(w.store.Address()), Grace: w.grace, Power: 1, Calm: 4 * time.Second,
		Extra: allowance.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, Fresh: true},
	}
	log := slog.New(slog.NewJSONHandler(w.log, nil)).With("node", "n1")
	g, err := New(settings, Options{Now: time.Now, Log: log})
	assert.NilError(w.t, err)
	assert.NilError(w.t, g.Start(context.Background()))
	w.gateway = g
}

// publish publishes a new routing table, in which the route that may be repeated has that prefix.
func (w *fixture) publish(one string) {
	w.version++
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"all","host":"h","prefix":"/all/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":1000,
		 "priority":0,"gather":["a","b","c"],"max_attempts":2,"top_k":4,"min_success_share":0.6},
		{"name":"one","host":"h","prefix":%s,"route_kind":"idempotent","timeout_ms":3000,
		 "target_latency_ms":1000,"priority":2,"service":"a","max_attempts":2},
		{"name":"once","host":"h","prefix":"/once/","route_kind":"non_idempotent","timeout_ms":3000,
		 "target_latency_ms":1000,"priority":2,"service":"a","max_attempts":2}],
		"services":[{"name":"a","max_connections":25},{"name":"b","max_connections":25},
		{"name":"c","max_connections":25}],"limits":{"max_header_bytes":500,"max_body_bytes":300}}`, w.version, one))
}

func (w *fixture) close() {
	if w.gateway != nil && !w.closed {
		assert.NilError(w.t, w.gateway.Close())
	}
	w.store.Close()
	for _, e := range w.endpoints {
		e.Close()
	}
}

func (w *fixture) await(check func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !check(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(w.t, time.Now().Before(end), "not within %v", waitTimeout)
	}
}

// response is what a caller gets.
type response struct {
	status int
	header http.Header
	body   string
	// closed says that the connection takes no further request.
	closed bool
}

// request sends a request over a connection of its own.
func (w *fixture) request(method, path, id, body string) response {
	w.t.Helper()
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: " + id +
		"\r\nBasilspan-Deadline-Ms: 2500\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return w.send(text+"\r\n"+body, method)
}

func (w *fixture) send(text, method string) response {
	w.t.Helper()
	c := w.dial()
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, text)
	assert.NilError(w.t, err)
	return w.read(bufio.NewReader(c), method)
}

func (w *fixture) dial() net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", string(w.gateway.callers.Address()))
	assert.NilError(w.t, err)
	assert.NilError(w.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

func (w *fixture) read(r *bufio.Reader, method string) response {
	w.t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(w.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), closed: resp.Close}
}

// setMode sets the mode of the endpoints with those ids.
func (w *fixture) setMode(mode shard.Mode, ids ...string) {
	for _, id := range ids {
		w.endpoints[id].SetMode(mode)
	}
}

// runs counts the runs of a request at all endpoints.
func (w *fixture) runs(id string) int {
	n := 0
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// syncBuffer is a log that may be read while it is written.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
