package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/query"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// fixture is a server with a query service whose calls of endpoints return a reply at once.
type fixture struct {
	*Server
	// calls counts the calls of endpoints.
	calls atomic.Int64
}

// start starts a server with one search, "find", of one shard. change may adjust the server before it starts.
func start(t *testing.T, change func(s *Server)) *fixture {
	t.Helper()
	f := &fixture{}
	views := view.NewStore()
	views.Publish(&view.View{At: time.Now(), Revision: 1, Catalog: &catalog.Catalog{
		Ranks: map[unit.RankName]catalog.Rank{"desk": {Name: "desk", Urgency: 1}},
		Searches: map[unit.SearchName]*catalog.Search{"find": {
			Name: "find", Aim: catalog.AimLatency,
			Snapshots: []catalog.Snapshot{{ID: 1, Shards: []unit.ShardID{"s0"}}},
			Endpoints: []catalog.Endpoint{{ID: "s0-a", Shard: "s0", Address: "10.0.0.1:80", Slots: 2, Connections: 25}},
		}},
	}})
	metrics := metric.NewSet()
	runner := &query.Runner{Now: time.Now, Views: views, Metrics: metrics}
	runner.Send = func(_ context.Context, call endpoint.Call) fanout.Reply {
		f.calls.Add(1)
		a := call.Attempt
		return fanout.Reply{Attempt: a.ID, Code: unit.CodeWhole, Snapshot: a.Snapshot, Shard: a.Shard, Body: call.Query.Body}
	}
	hlog.SetOutput(io.Discard)
	f.Server = &Server{
		Now: time.Now, Answer: runner.Run, listen: "127.0.0.1:0", metrics: metrics,
		guard: &guard{limit: 8, readTimeout: 5 * time.Second},
	}
	if change != nil {
		change(f.Server)
	}
	assert.NilError(t, f.start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, f.server.Close()) })
	return f
}

// request returns the text of POST /query with that body.
func request(body string) string {
	return "POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

// TestBadInputReachesNoEndpoint checks that a malformed or invalid request gets the result code and message of its
// problem and causes no call of an endpoint, nor a metric named after a search that does not exist.
func TestBadInputReachesNoEndpoint(t *testing.T) {
	large := strings.Repeat("x", maxBodyBytes+1)
	tests := []struct {
		name    string
		send    string
		code    unit.Code
		message string
		calls   int64
	}{
		{
			"valid", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1000, "body": "aGk="}`),
			unit.CodeWhole, unit.CodeWhole.String(), 1,
		},
		{
			"no body", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1000, "body": null}`),
			unit.CodeWhole, unit.CodeWhole.String(), 1,
		},
		{"not JSON", request(`id=1`), unit.CodeBadRequest, "body: is not valid JSON", 0},
		{"empty", request(``), unit.CodeBadRequest, "body: is not valid JSON: it ends too early", 0},
		{"a list", request(`[]`), unit.CodeBadRequest, "body: must be an object, not a list", 0},
		{
			"trailing JSON", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1000} {}`),
			unit.CodeBadRequest, "body: is not valid JSON: there is more after its end", 0,
		},
		{
			"duplicate keys", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1000, "timeout": 2000}`),
			unit.CodeBadRequest, "timeout: the key stands twice", 0,
		},
		{
			"unknown keys", request(`{"id": "q1", "Search": "find", "rank": "desk", "timeout": 1000}`),
			unit.CodeBadRequest, "Search: unknown key", 0,
		},
		{
			"all problems are listed", request(`{"id": 7, "search": null, "once": "yes", "timeout": -1}`),
			unit.CodeBadRequest,
			"id: must be a string, not a number; search: must be a string, not null; once: must be true or false, not a string; timeout:",
			0,
		},
		{
			"a body that is not base64", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1, "body": "&"}`),
			unit.CodeBadRequest, "body: must be bytes in base64", 0,
		},
		{"no id", request(`{"search": "find", "rank": "desk", "timeout": 1000}`), unit.CodeBadRequest, "id: must have", 0},
		{
			"an id that injects a header", request(`{"id": "q\r\nX-Once: 1", "search": "find", "rank": "desk", "timeout": 9}`),
			unit.CodeBadRequest, "id: must have printable ASCII", 0,
		},
		{
			"an id that a header would trim", request(`{"id": "q1 ", "search": "find", "rank": "desk", "timeout": 9}`),
			unit.CodeBadRequest, "id: must not begin or end with a space", 0,
		},
		{
			"an id with a space", request(`{"id": "q 1", "search": "find", "rank": "desk", "timeout": 1000}`),
			unit.CodeWhole, unit.CodeWhole.String(), 1,
		},
		{
			"a long id",
			request(`{"id": "` + strings.Repeat("q", maxIDBytes+1) + `", "search": "find", "rank": "desk", "timeout": 9}`),
			unit.CodeBadRequest, "id: must have 1 to 128 bytes", 0,
		},
		{
			"an unknown search", request(`{"id": "q1", "search": "fnd", "rank": "desk", "timeout": 1000}`),
			unit.CodeUnknownSearch, "search: ", 0,
		},
		{
			"an unknown rank", request(`{"id": "q1", "search": "find", "rank": "dsk", "timeout": 1000}`),
			unit.CodeUnknownRank, "rank: ", 0,
		},
		{
			"a past deadline", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 0}`),
			unit.CodeBadDeadline, "timeout: must be from 1 to 60000 milliseconds", 0,
		},
		{
			"a deadline out of range", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 99999999999999}`),
			unit.CodeBadDeadline, "timeout: must be from 1 to 60000 milliseconds", 0,
		},
		{
			"a deadline that is not an integer", request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1e99}`),
			unit.CodeBadDeadline, "timeout: must be a whole number, not 1e99", 0,
		},
		{"an oversized body", request(large), unit.CodeTooLarge, tooLargeMessage, 0},
		{
			"the first part of an oversized body",
			"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n" + large[:64<<10],
			unit.CodeTooLarge, tooLargeMessage, 0,
		},
		{
			"an oversized body in chunks", "POST /query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n" +
				large + "\r\n0\r\n\r\n", unit.CodeTooLarge, tooLargeMessage, 0,
		},
		{"another path", "GET /other HTTP/1.1\r\nHost: x\r\n\r\n", unit.CodeBadRequest, "path: the only call", 0},
		{"another method", "GET /query HTTP/1.1\r\nHost: x\r\n\r\n", unit.CodeBadRequest, "path: the only call", 0},
	}
	f := start(t, func(s *Server) { s.guard.limit = 100 })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := f.calls.Load()
			answer := roundTrip(t, f, tt.send)
			assert.Equal(t, unit.Code(answer.Code), tt.code, "%+v", answer)
			assert.Assert(t, strings.HasPrefix(answer.Message, tt.message), answer.Message)
			assert.Equal(t, answer.Outcome, tt.code.Outcome().String())
			assert.Equal(t, f.calls.Load()-before, tt.calls)
			assert.Assert(t, f.metrics.Get("code."+itoa(int(tt.code))) > 0)
		})
	}
	assert.Assert(t, !strings.Contains(f.metrics.String(), "fnd"), "an unknown search has a histogram")
}

// roundTrip sends a request on a new connection and decodes the response.
func roundTrip(t *testing.T, f *fixture, send string) wireAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", string(f.Address()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	go func() { _, _ = io.WriteString(conn, send) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer wireAnswer
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	assert.Equal(t, resp.StatusCode, httpStatus(unit.Code(answer.Code)))
	return answer
}

// TestSlowCallersAreDisconnected checks that the connection of a caller that does not finish its request in time is
// closed, also if the caller sends a byte now and then, which restarts the read timeout of hertz.
func TestSlowCallersAreDisconnected(t *testing.T) {
	tests := []struct {
		name string
		send []string
	}{
		{"sends nothing", nil},
		{"stops in the header", []string{"POST /que"}},
		{"stops in the body", []string{"POST /query HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\n{"}},
		{"sends a byte now and then", strings.Split(request(strings.Repeat(" ", 90)), "")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, func(s *Server) { s.guard.readTimeout = 200 * time.Millisecond })
			conn, err := net.Dial("tcp", string(f.Address()))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			go func() {
				for _, chunk := range tt.send {
					if _, err := io.WriteString(conn, chunk); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
			_, err = io.ReadAll(conn)
			var late net.Error
			assert.Assert(t, !isTimeout(err, &late), "the connection is still open")
			assert.Equal(t, f.calls.Load(), int64(0))
			assert.Equal(t, f.metrics.Get(counterReadTimeout), int64(1))
		})
	}
}

// isTimeout reports whether err is a network timeout, and stores it in into if it is a network error.
func isTimeout(err error, into *net.Error) bool {
	if err == nil {
		return false
	}
	e, ok := err.(net.Error)
	*into = e
	return ok && e.Timeout()
}

// TestConnectionLimit checks that connections beyond the limit are closed, and that a closed connection makes room for
// another one.
func TestConnectionLimit(t *testing.T) {
	f := start(t, func(s *Server) { s.guard.limit = 2 })
	valid := request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 5000}`)
	// The server sent itself a request when it started, to check that it responds.
	eventually(t, func() bool { return f.guard.open.Load() == 0 })
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", string(f.Address()))
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	eventually(t, func() bool { return f.guard.open.Load() == 2 })
	conn, err := net.Dial("tcp", string(f.Address()))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, f.metrics.Get(counterRefused), int64(1))
	for _, c := range conns {
		assert.NilError(t, c.Close())
	}
	eventually(t, func() bool { return f.guard.open.Load() == 0 })
	assert.Equal(t, unit.Code(roundTrip(t, f, valid).Code), unit.CodeWhole)
}

// TestStopOutlastsSlowestQuery guards against a stop that gives up the slowest query that may be in flight.
func TestStopOutlastsSlowestQuery(t *testing.T) {
	assert.Assert(t, exitWait > readTimeout+query.MaxTimeout)
}

// TestDisconnectCancelsQuery checks that a query is cancelled when its caller closes the connection.
func TestDisconnectCancelsQuery(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	f := start(t, func(s *Server) {
		s.Answer = func(ctx context.Context, q fanout.Query) fanout.Answer {
			close(began)
			<-ctx.Done()
			close(ended)
			return fanout.Refusal(q.ID, unit.CodeCancelled, "")
		}
	})
	conn, err := net.Dial("tcp", string(f.Address()))
	assert.NilError(t, err)
	_, err = io.WriteString(conn, request(`{"id": "q1", "search": "find", "rank": "desk", "timeout": 60000}`))
	assert.NilError(t, err)
	<-began
	assert.NilError(t, conn.Close())
	<-ended
}

// eventually polls until check returns true, and fails the test after 10 s.
func eventually(t *testing.T, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within 10s")
	}
}

// FuzzDecode looks for a body that is accepted with a request id or deadline that the query service must not get, or
// that is rejected without a message.
func FuzzDecode(f *testing.F) {
	seeds := []string{
		`{"id": "q1", "search": "find", "rank": "desk", "timeout": 1000, "once": true, "body": "aGk="}`,
		``, `{`, `null`, `{"id": null}`, `{"timeout": 1e99}`, `{"id": "a", "timeout": 60001}`, "{\"id\": \"\u0000\"}",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	now := time.Unix(1_000_000, 0)
	f.Fuzz(func(t *testing.T, body []byte) {
		q, code, message := decode(body, now)
		if code != 0 {
			assert.Assert(t, message != "" && code.Outcome() == unit.OutcomeNotRun)
			return
		}
		left := q.Deadline.Sub(now)
		assert.Assert(t, idProblem(string(q.ID)) == "" && left > 0 && left <= query.MaxTimeout)
	})
}

// BenchmarkDecode measures the decoding of a query of typical size.
func BenchmarkDecode(b *testing.B) {
	body := []byte(`{"id": "q-0123456789", "search": "fitter-desk", "rank": "fitter", "timeout": 500, "body": "` +
		strings.Repeat("aGlo", 64) + `"}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, code, _ := decode(body, time.Time{}); code != 0 {
			b.Fatal(code)
		}
	}
}

// TestReadTimerAfterPause guards against cutting a request whose bytes came while the process was paused.
func TestReadTimerAfterPause(t *testing.T) {
	tests := []struct {
		name string
		// steps run in order before the timer ends.
		steps []func(timer *readTimer)
		want  bool
	}{
		{"the timeout has passed", nil, false},
		{"the late timeout has passed too", []func(*readTimer){expireOnce}, true},
		{"the request has been read", []func(*readTimer){(*readTimer).stop}, false},
		{"the request has been read late", []func(*readTimer){expireOnce, (*readTimer).stop}, false},
		{"another request is read", []func(*readTimer){expireOnce, restart}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timer := &readTimer{}
			timer.start(time.Hour, func() {})
			defer timer.stop()
			for _, step := range tt.steps {
				step(timer)
			}
			assert.Equal(t, timer.expire(), tt.want)
		})
	}
}

// expireOnce ends the timer, as a step.
func expireOnce(timer *readTimer) {
	timer.expire()
}

// restart starts the timer for a new request, as a step.
func restart(timer *readTimer) {
	timer.restart(time.Hour)
}
