package gateway

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/standin/shard"
)

// TestResponses checks the status, the body and the headers of responses for endpoints that serve, reject, fail, hang
// or lose their responses, and how often the request ran in all.
func TestResponses(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fixture)
		path  string
		want  int
		body  string
		// parts is the number of parts of a merged response, and missing the value of its header for missing parts.
		parts   int
		missing string
		// retryAfter reports whether the response has a Retry-After header.
		retryAfter bool
		// runs is how often the request ran on all endpoints together, or -1 for any number.
		runs int
	}{
		{
			name: "all shards", path: "/all/x", want: 200, body: record("c2") + record("c1") + record("b2") + record("b1"),
			parts: 3, missing: "0", runs: 3,
		},
		{
			name: "a shard that rejects the request is omitted", path: "/all/x", want: 200, parts: 2, missing: "1", runs: 2,
			setup: func(f *fixture) { f.setMode(shard.ModeReject, "c0", "c1") },
			body:  record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "a shard that fails is omitted", path: "/all/x", want: 200, parts: 2, missing: "1", runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeFail, "c0", "c1") },
			body:  record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "a reply without a signature is not merged", path: "/all/x", want: 200, parts: 2, missing: "1", runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeUnsigned, "c0", "c1") },
			body:  record("b2") + record("b1") + record("a2") + record("a1"),
		},
		{
			name: "one endpoint loses its responses", path: "/all/x", want: 200, parts: 3, missing: "0", runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeDrop, "c0") },
			body:  record("c2") + record("c1") + record("b2") + record("b1"),
		},
		{
			name: "too few shards", path: "/all/x", want: 502, runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeFail, "b0", "b1", "c0", "c1") },
		},
		{
			name: "min share out of reach while one shard is still running", path: "/all/x", want: 502, runs: -1,
			setup: func(f *fixture) {
				f.endpoints["c0"].Delay, f.endpoints["c1"].Delay = 500*time.Millisecond, 500*time.Millisecond
				f.setMode(shard.ModeReject, "a0", "a1", "b0", "b1")
			},
		},
		{name: "one endpoint", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: 1},
		{
			name: "an endpoint's own 404", path: "/one/x", want: 404, body: "absent", runs: 1,
			setup: func(f *fixture) { f.setMode(shard.ModeAbsent, "a0", "a1") },
		},
		{
			name: "one endpoint is full", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: 1,
			setup: func(f *fixture) { f.setMode(shard.ModeReject, "a0") },
		},
		{
			name: "all endpoints are full", path: "/one/x", want: 503, retryAfter: true, runs: 0,
			setup: func(f *fixture) { f.setMode(shard.ModeReject, "a0", "a1") },
		},
		{
			name: "a lost response is retried", path: "/one/x", want: 200, body: record("a1") + record("a2"), runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeDrop, "a0") },
		},
		{
			name: "all responses are lost", path: "/one/x", want: 502, runs: 2,
			setup: func(f *fixture) { f.setMode(shard.ModeDrop, "a0", "a1") },
		},
		{
			name: "an endpoint's own failure is forwarded", path: "/one/x", want: 500, body: "failed", runs: 2,
			setup: func(f *fixture) { f.setMode(shard.ModeFail, "a0", "a1") },
		},
		{
			name: "a 503 without the not-executed header is not forwarded", path: "/one/x", want: 502, runs: 2,
			setup: func(f *fixture) { f.setMode(shard.ModeBusy, "a0", "a1") },
		},
		{
			name: "a body with a content encoding is not forwarded", path: "/one/x", want: 502, runs: 2,
			setup: func(f *fixture) { f.setMode(shard.ModeEncode, "a0", "a1") },
		},
		{
			name: "non-idempotent request may have run", path: "/once/x", want: 502, runs: 1,
			setup: func(f *fixture) { f.setMode(shard.ModeDrop, "a0", "a1") },
		},
		{
			name: "non-idempotent request fails", path: "/once/x", want: 500, body: "failed", runs: 1,
			setup: func(f *fixture) { f.setMode(shard.ModeFail, "a0", "a1") },
		},
		{
			name: "non-idempotent request has not run", path: "/once/x", want: 503, retryAfter: true, runs: 0,
			setup: func(f *fixture) { f.setMode(shard.ModeReject, "a0", "a1") },
		},
		{
			name: "non-idempotent request is retried when it has not run", path: "/once/x", want: 200,
			body: record("a1") + record("a2"), runs: 1, setup: func(f *fixture) { f.setMode(shard.ModeReject, "a0") },
		},
		{
			name: "a hanging request ends at its deadline", path: "/one/x", want: 504, runs: -1,
			setup: func(f *fixture) { f.setMode(shard.ModeHang, "a0", "a1") },
		},
		{name: "no route", path: "/none/x", want: 404, runs: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			if tt.setup != nil {
				tt.setup(f)
			}
			got := f.request("GET", tt.path, "r1", "")
			assert.Equal(t, got.status, tt.want)
			if tt.body != "" {
				assert.Equal(t, got.body, tt.body)
			}
			assert.Equal(t, got.header.Get("Basilspan-Missing-Parts"), tt.missing)
			if tt.parts > 0 {
				assert.Equal(t, len(strings.Split(got.header.Get("Basilspan-Part-Stamps"), ", ")), tt.parts)
			}
			assert.Equal(t, got.header.Get("Retry-After") != "", tt.retryAfter)
			if tt.runs >= 0 {
				assert.Equal(t, f.runs("r1"), tt.runs)
			}
		})
	}
}

// TestForwardsRequestUnchanged checks that an endpoint receives method, URI, id and body as the caller sent them, also
// for a chunked body and for a second request on a persistent connection.
func TestForwardsRequestUnchanged(t *testing.T) {
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
			f := newFixture(t).start()
			c := f.dial()
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for range 2 {
				_, err := io.WriteString(c, tt.text)
				assert.NilError(t, err)
				assert.Equal(t, f.read(r, "GET").status, 200)
			}
			for _, id := range []string{"a0", "a1"} {
				for _, run := range f.endpoints[id].Runs() {
					assert.Equal(t, run.ID, "r1")
					assert.Equal(t, run.Method, tt.want.Method)
					assert.Equal(t, run.URI, "/one/a%2Fb?q=1")
					assert.Equal(t, run.Body, tt.want.Body)
				}
			}
			assert.Equal(t, f.runs("r1"), 2)
		})
	}
}

// TestAmbiguousFraming guards against request smuggling: a request whose end other HTTP implementations could place
// elsewhere reaches no endpoint, nor does the request hidden in its body.
func TestAmbiguousFraming(t *testing.T) {
	const hidden = "GET /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: hidden\r\n\r\n"
	tests := []struct {
		name   string
		fields string
		body   string
		// parser reports whether the HTTP library rejects the request itself, without a log line.
		parser bool
	}{
		{"a length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden, false},
		{"chunks and a length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n" + hidden, false},
		{"two lengths", "Content-Length: 0\r\nContent-Length: 90\r\n", hidden, true},
		{"a length that is not a number", "Content-Length: +0\r\n", hidden, true},
		{"another encoding", "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" + hidden, false},
		{"a folded field", "X: 1\r\n Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			head := "POST /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\n" + tt.fields + "\r\n"
			assert.Equal(t, f.send(head+tt.body, "POST").status, 400)
			assert.Equal(t, f.request("GET", "/one/x", "r2", "").status, 200)
			assert.Equal(t, f.runs("r1")+f.runs("hidden"), 0)
			assert.Equal(t, strings.Contains(f.log.String(), `"id":"r1"`), !tt.parser)
		})
	}
}

// TestLimits checks that a request that exceeds the size limits of the routing table reaches no endpoint, and that one
// within the limits does.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		field  int
		body   int
		status int
		runs   int
	}{
		{"within the limits", 300, 300, 200, 1},
		{"a large body", 0, 301, 413, 0},
		{"a large header", 500, 0, 431, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			text := fmt.Sprintf("POST /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: r1\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s",
				strings.Repeat("x", tt.field), tt.body, strings.Repeat("y", tt.body))
			assert.Equal(t, f.send(text, "POST").status, tt.status)
			assert.Equal(t, f.runs("r1"), tt.runs)
		})
	}
}
