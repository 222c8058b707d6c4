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

	"basilspan/internal/cmd/explain"
	"basilspan/internal/cmd/stream"
	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

const (
	// patience bounds the wait for what has to happen.
	patience = 20 * time.Second
	// quick is a grace time with hardly any wait for the balancer.
	quick = 400 * time.Millisecond
)

// world is a gateway between a registry and endpoints of the services a, b and c, two each. The route /all/ gathers
// all three, /one/ goes to a and may be repeated, and /once/ goes to a and must not.
type world struct {
	t         *testing.T
	store     *registry.Store
	endpoints map[string]*shard.Endpoint
	gateway   *Gateway
	// version is that of the newest routing table.
	version int
	// grace is how long the gateway's stop may take, and log what it writes.
	grace  time.Duration
	log    *lines
	closed bool
}

// record gives a record of 16 bytes that begins with text.
func record(text string) string {
	return text + strings.Repeat(".", 16-len(text))
}

func newWorld(t *testing.T) *world {
	t.Helper()
	hlog.SetOutput(io.Discard)
	w := &world{t: t, store: registry.New(), endpoints: make(map[string]*shard.Endpoint), grace: quick, log: &lines{}}
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
func (w *world) start() *world {
	w.t.Helper()
	w.publish(`"/one/"`)
	w.open()
	w.await(func() bool { return w.gateway.Ready() })
	return w
}

// open starts the gateway.
func (w *world) open() {
	w.t.Helper()
	settings := config.Settings{
		Node: "n1", Centre: "z", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0",
		Registry: unit.Address(w.store.Address()), Grace: w.grace, Power: 1,
		Extra: allowance.Terms{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}
	log := slog.New(slog.NewJSONHandler(w.log, nil)).With("node", "n1")
	g, err := New(settings, Options{Now: time.Now, Log: log})
	assert.NilError(w.t, err)
	assert.NilError(w.t, g.Start(context.Background()))
	w.gateway = g
}

// publish publishes a new routing table, in which the route that may be repeated has that prefix.
func (w *world) publish(one string) {
	w.version++
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"all","host":"h","prefix":"/all/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":1000,
		 "priority":0,"gather":["a","b","c"],"max_attempts":2,"top_k":4,"min_success_share":0.6},
		{"name":"one","host":"h","prefix":%s,"route_kind":"idempotent","timeout_ms":3000,
		 "target_latency_ms":1000,"priority":2,"service":"a","max_attempts":2},
		{"name":"once","host":"h","prefix":"/once/","route_kind":"non_idempotent","timeout_ms":3000,
		 "target_latency_ms":1000,"priority":2,"service":"a","max_attempts":2}],
		"services":[{"name":"a","max_connections":25},{"name":"b","max_connections":25},
		{"name":"c","max_connections":25}],"limits":{}}`, w.version, one))
}

func (w *world) close() {
	if w.gateway != nil && !w.closed {
		assert.NilError(w.t, w.gateway.Close())
	}
	w.store.Close()
	for _, e := range w.endpoints {
		e.Close()
	}
}

func (w *world) await(check func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !check(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(w.t, time.Now().Before(end), "not within %v", patience)
	}
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	// last says that the connection takes no further request.
	last bool
}

// ask sends a request over a connection of its own.
func (w *world) ask(method, path, id, body string) answer {
	w.t.Helper()
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: " + id +
		"\r\nBasilspan-Deadline-Ms: 2500\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return w.send(text+"\r\n"+body, method)
}

func (w *world) send(text, method string) answer {
	w.t.Helper()
	c := w.dial()
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, text)
	assert.NilError(w.t, err)
	return w.read(bufio.NewReader(c), method)
}

func (w *world) dial() net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", string(w.gateway.callers.Address()))
	assert.NilError(w.t, err)
	assert.NilError(w.t, c.SetDeadline(time.Now().Add(patience)))
	return c
}

func (w *world) read(r *bufio.Reader, method string) answer {
	w.t.Helper()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	assert.NilError(w.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), last: resp.Close}
}

// behave sets the mode of the endpoints with those ids.
func (w *world) behave(mode shard.Mode, ids ...string) {
	for _, id := range ids {
		w.endpoints[id].Behave(mode)
	}
}

// runs counts the runs of a request at all endpoints.
func (w *world) runs(id string) int {
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

func TestAnswers(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *world)
		path string
		want int
		body string
		// parts and missing are told of a merged answer, and back says that the caller is told when to come back.
		parts   int
		missing string
		back    bool
		// runs is how often the request ran in all, -1 for any number.
		runs int
	}{
		{
			name: "all shards", path: "/all/x", want: 200, body: record("c2") + record("c1") + record("b2") + record("b1"),
			parts: 3, missing: "0", runs: 3,
		},
		{
			name: "a shard that rejects is left out", path: "/all/x", want: 200, parts: 2, missing: "1", runs: 2,
			do:   func(w *world) { w.behave(shard.ModeReject, "c0", "c1") },
			body: record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "a shard that fails is left out", path: "/all/x", want: 200, parts: 2, missing: "1", runs: -1,
			do:   func(w *world) { w.behave(shard.ModeFail, "c0", "c1") },
			body: record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "a reply without a signature is no part", path: "/all/x", want: 200, parts: 2, missing: "1", runs: -1,
			do:   func(w *world) { w.behave(shard.ModeUnsigned, "c0", "c1") },
			body: record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "an endpoint that loses its answers", path: "/all/x", want: 200, parts: 3, missing: "0", runs: -1,
			do:   func(w *world) { w.behave(shard.ModeLose, "c0") },
			body: record("c2") + record("c1") + record("b2") + record("b1"),
		},
		{
			name: "too few shards", path: "/all/x", want: 502, runs: -1,
			do: func(w *world) { w.behave(shard.ModeFail, "b0", "b1", "c0", "c1") },
		},
		{
			name: "hopeless while one shard may yet run it", path: "/all/x", want: 502, runs: -1,
			do: func(w *world) {
				w.endpoints["c0"].Delay, w.endpoints["c1"].Delay = 500*time.Millisecond, 500*time.Millisecond
				w.behave(shard.ModeReject, "a0", "a1", "b0", "b1")
			},
		},
		{name: "one endpoint", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: 1},
		{
			name: "an endpoint's own 404", path: "/one/x", want: 404, body: "absent", runs: 1,
			do: func(w *world) { w.behave(shard.ModeAbsent, "a0", "a1") },
		},
		{
			name: "one endpoint is full", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: 1,
			do: func(w *world) { w.behave(shard.ModeReject, "a0") },
		},
		{
			name: "all endpoints are full", path: "/one/x", want: 503, back: true, runs: 0,
			do: func(w *world) { w.behave(shard.ModeReject, "a0", "a1") },
		},
		{
			name: "a lost answer is asked for again", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: -1,
			do: func(w *world) { w.behave(shard.ModeLose, "a0") },
		},
		{
			name: "all answers are lost", path: "/one/x", want: 502, runs: 2,
			do: func(w *world) { w.behave(shard.ModeLose, "a0", "a1") },
		},
		{
			name: "an endpoint's own failure is passed on", path: "/one/x", want: 500, body: "failed", runs: 2,
			do: func(w *world) { w.behave(shard.ModeFail, "a0", "a1") },
		},
		{
			name: "a status that promises too much is not passed on", path: "/one/x", want: 502, runs: 2,
			do: func(w *world) { w.behave(shard.ModeBusy, "a0", "a1") },
		},
		{
			name: "an encoded body is not the endpoint's", path: "/one/x", want: 502, runs: 2,
			do: func(w *world) { w.behave(shard.ModeEncode, "a0", "a1") },
		},
		{
			name: "a request that must not be repeated and may have run", path: "/once/x", want: 502, runs: 1,
			do: func(w *world) { w.behave(shard.ModeLose, "a0", "a1") },
		},
		{
			name: "a request that must not be repeated and fails", path: "/once/x", want: 500, body: "failed", runs: 1,
			do: func(w *world) { w.behave(shard.ModeFail, "a0", "a1") },
		},
		{
			name: "a request that must not be repeated and has not run", path: "/once/x", want: 503, back: true, runs: 0,
			do: func(w *world) { w.behave(shard.ModeReject, "a0", "a1") },
		},
		{
			name: "a request that must not be repeated is sent again when it has not run", path: "/once/x", want: 200,
			body: record("a1") + record("a2"), runs: 1, do: func(w *world) { w.behave(shard.ModeReject, "a0") },
		},
		{
			name: "a request that hangs ends at its deadline", path: "/one/x", want: 504, runs: -1,
			do: func(w *world) { w.behave(shard.ModeHang, "a0", "a1") },
		},
		{name: "no route", path: "/none/x", want: 404, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			if tt.do != nil {
				tt.do(w)
			}
			got := w.ask("GET", tt.path, "r1", "")
			assert.Equal(t, got.status, tt.want)
			if tt.body != "" {
				assert.Equal(t, got.body, tt.body)
			}
			assert.Equal(t, got.header.Get("Basilspan-Missing-Parts"), tt.missing)
			if tt.parts > 0 {
				assert.Equal(t, len(strings.Split(got.header.Get("Basilspan-Part-Stamps"), ", ")), tt.parts)
			}
			assert.Equal(t, got.header.Get("Retry-After") != "", tt.back)
			if tt.runs >= 0 {
				assert.Equal(t, w.runs("r1"), tt.runs)
			}
		})
	}
}

// TestPassesOn checks that an endpoint gets a request as its caller sent it, also in chunks and behind others on a kept
// connection.
func TestPassesOn(t *testing.T) {
	const head = " /one/a%2Fb?q=1 HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n"
	tests := []struct {
		name string
		text string
		want shard.Run
	}{
		{"no body", "GET" + head + "\r\n", shard.Run{Method: "GET"}},
		{"a body with a length", "POST" + head + "Content-Length: 4\r\n\r\nabcd", shard.Run{Method: "POST", Body: "abcd"}},
		{
			"a body in chunks", "POST" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
			shard.Run{Method: "POST", Body: "abcd"},
		},
		{"another method", "PATCH" + head + "Content-Length: 0\r\n\r\n", shard.Run{Method: "PATCH"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			c := w.dial()
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for range 2 {
				_, err := io.WriteString(c, tt.text)
				assert.NilError(t, err)
				assert.Equal(t, w.read(r, "GET").status, 200)
			}
			for _, id := range []string{"a0", "a1"} {
				for _, run := range w.endpoints[id].Runs() {
					assert.Equal(t, run.ID, "r1")
					assert.Equal(t, run.Method, tt.want.Method)
					assert.Equal(t, run.URI, "/one/a%2Fb?q=1")
					assert.Equal(t, run.Body, tt.want.Body)
				}
			}
			assert.Equal(t, w.runs("r1"), 2)
		})
	}
}

// TestAmbiguousFraming checks that a request whose end others could see elsewhere reaches no endpoint, nor does what is
// hidden in it.
func TestAmbiguousFraming(t *testing.T) {
	const hidden = "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: hidden\r\n\r\n"
	tests := []struct {
		name   string
		fields string
		body   string
	}{
		{"a length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden},
		{"chunks and a length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n" + hidden},
		{"two lengths", "Content-Length: 0\r\nContent-Length: 90\r\n", hidden},
		{"a length that is no number", "Content-Length: +0\r\n", hidden},
		{"another encoding", "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" + hidden},
		{"a folded field", "X: 1\r\n Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			head := "POST /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n" + tt.fields + "\r\n"
			assert.Equal(t, w.send(head+tt.body, "POST").status, 400)
			assert.Equal(t, w.ask("GET", "/one/x", "r2", "").status, 200)
			assert.Equal(t, w.runs("r1")+w.runs("hidden"), 0)
		})
	}
}

// TestStartsWithoutRegistry checks that a VM that knows no routes says that nothing has run, and serves once it does.
func TestStartsWithoutRegistry(t *testing.T) {
	tests := []struct {
		name  string
		fault registry.Fault
	}{
		{"busy", registry.FaultBusy},
		{"silent", registry.FaultSilent},
		{"reset", registry.FaultReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			w.publish(`"/one/"`)
			w.store.Break(tt.fault)
			w.open()
			assert.Assert(t, !w.gateway.Ready())
			got := w.ask("GET", "/one/x", "r1", "")
			assert.Equal(t, got.status, 503)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			w.store.Break(registry.FaultNone)
			w.await(func() bool { return w.gateway.Ready() })
			assert.Equal(t, w.ask("GET", "/one/x", "r2", "").status, 200)
		})
	}
}

// TestChanges checks that what is published comes into force, also when the registry loses its history, and that an
// older table never does.
func TestChanges(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *world)
		// path is served in the end.
		path string
	}{
		{"a new table", func(w *world) { w.publish(`"/two/"`) }, "/two/x"},
		{"a new table after lost history", func(w *world) {
			w.store.Compact()
			w.publish(`"/two/"`)
			w.store.Compact()
		}, "/two/x"},
		{"a new table during an outage", func(w *world) {
			w.store.Break(registry.FaultBusy)
			w.publish(`"/two/"`)
			w.store.Break(registry.FaultNone)
		}, "/two/x"},
		{"a table that cannot be read before one that can", func(w *world) {
			w.store.Put("op/config", `{"version":"x"`)
			w.publish(`"/two/"`)
		}, "/two/x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			tt.do(w)
			w.await(func() bool { return w.ask("GET", tt.path, "r1", "").status == 200 })
			w.version = 0
			w.publish(`"/one/"`)
			w.endpoints["a0"].Behave(shard.ModeServe)
			w.store.Put("op/config-other", "x")
			w.version = 100
			w.publish(`"/three/"`)
			w.await(func() bool { return w.ask("GET", "/three/x", "r2", "").status == 200 })
			assert.Equal(t, w.ask("GET", "/one/x", "r3", "").status, 404)
		})
	}
}

// TestLeaving checks that an endpoint that leaves or is gone gets no new request.
func TestLeaving(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *world)
	}{
		{"leaving", func(w *world) { w.store.Put("servers/a0", w.endpoints["a0"].Registration("draining")) }},
		{"gone", func(w *world) { w.store.Delete("servers/a0") }},
		{"replaced by what names no endpoint", func(w *world) { w.store.Put("servers/a0", "x") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			w.behave(shard.ModeReject, "a1")
			assert.Equal(t, w.ask("GET", "/one/x", "r0", "").status, 200)
			w.behave(shard.ModeServe, "a1")
			tt.do(w)
			w.await(func() bool {
				all := w.gateway.views.Load().Endpoints["a"]
				return len(all) == 1 || all[0].Lapsed || all[1].Lapsed
			})
			before := len(w.endpoints["a0"].Runs())
			for i := range 10 {
				assert.Equal(t, w.ask("GET", "/one/x", fmt.Sprint("r", i), "").status, 200)
			}
			assert.Equal(t, len(w.endpoints["a0"].Runs()), before)
		})
	}
}

// TestPlannedStop checks that a stop answers what it has read, asks callers to connect anew and takes the VM out of the
// balancer's rotation.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t)
	w.grace = 2 * time.Second
	w.start()
	for _, e := range w.endpoints {
		e.Delay = 300 * time.Millisecond
	}
	kept := w.dial()
	defer func() { _ = kept.Close() }()
	r := bufio.NewReader(kept)
	const text = "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n"
	_, err := io.WriteString(kept, text)
	assert.NilError(t, err)
	w.await(func() bool { return w.runs("r1") == 1 })
	w.gateway.BeginDrain()
	assert.Assert(t, !w.gateway.Ready())
	done := make(chan error, 1)
	w.closed = true
	go func() { done <- w.gateway.Close() }()
	got := w.read(r, "GET")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.last)
	assert.Equal(t, w.ask("GET", "/one/x", "r2", "").status, 200)
	assert.NilError(t, <-done)
	_, err = net.Dial("tcp", string(w.gateway.callers.Address()))
	assert.Assert(t, err != nil)
}

// TestCallerLeaves checks that endpoints are no longer kept at work for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t).start()
	w.behave(shard.ModeHang, "a0", "a1", "b0", "b1", "c0", "c1")
	c := w.dial()
	_, err := io.WriteString(c, "GET /all/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n\r\n")
	assert.NilError(t, err)
	w.await(func() bool { return w.runs("r1") >= 3 })
	assert.NilError(t, c.Close())
	for _, e := range w.endpoints {
		for _, run := range e.Runs() {
			select {
			case <-run.Gone:
			case <-time.After(patience):
				t.Fatal("an endpoint is kept at work")
			}
		}
	}
}

// lines is a log that may be read while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestExplain brings about the failed requests that the operators' page tells of, and follows its steps from the id to
// the cause.
func TestExplain(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *world)
		path string
		// id is that of the request, and asked the one that is looked for.
		id, asked string
		status    int
		code      stream.ExitCode
		want      []string
	}{
		{
			"an answer lacks a slow shard", func(w *world) { w.behave(shard.ModeHang, "c0", "c1") }, "/all/x", "r1", "r1", 200,
			stream.ExitOK, []string{"request answered in part", "code: 101", "c: c", "first@", "open"},
		},
		{
			"endpoints are full", func(w *world) { w.behave(shard.ModeReject, "a0", "a1") }, "/one/x", "r1", "r1", 503,
			stream.ExitOK, []string{"request not answered", "code: 210", "a: a", "rejected"},
		},
		{
			"no endpoint is registered", func(w *world) {
				for _, id := range []string{"a0", "a1"} {
					w.store.Put("servers/"+id, w.endpoints[id].Registration("draining"))
				}
				w.await(func() bool { return len(w.gateway.views.Load().Endpoints["a"]) == 0 })
			}, "/one/x", "r1", "r1", 503,
			stream.ExitOK, []string{"request not answered", "code: 209", "endpoint registered", "leaving: true"},
		},
		{
			"an endpoint loses its answers", func(w *world) { w.behave(shard.ModeLose, "a0", "a1") }, "/once/x", "r1", "r1", 502,
			stream.ExitOK, []string{"request not answered", "code: 301", "lost", "endpoint set aside"},
		},
		{
			"the VM was killed with the request", func(*world) {}, "/one/x", "r1", "r2", 200, stream.ExitNegative, nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t).start()
			tt.do(w)
			assert.Equal(t, w.ask("GET", tt.path, tt.id, "").status, tt.status)
			var out bytes.Buffer
			err := explain.Run(&explain.Options{
				Streams: stream.Streams{In: strings.NewReader(w.log.String()), Out: &out}, ID: tt.asked,
			})
			assert.Equal(t, stream.CodeOf(err), tt.code)
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), text), "%q is not in\n%s", text, out.String())
			}
		})
	}
}
