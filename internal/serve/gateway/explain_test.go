package gateway

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/explain"
	"basilspan/internal/cmd/stream"
	"basilspan/internal/standin/shard"
)

// TestExplain brings about the failed requests that the operators' page tells of, and follows its steps from the id to
// the cause.
func TestExplain(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *fixture)
		path string
		// id is that of the request, and asked the one that is looked for.
		id, asked string
		status    int
		code      stream.ExitCode
		want      []string
	}{
		{
			"an answer lacks a slow shard", func(w *fixture) { w.setMode(shard.ModeHang, "c0", "c1") }, "/all/x", "r1", "r1", 200,
			stream.ExitOK,
			[]string{"request answered in part", "code: 101", "c: c", "first@", "open"},
		},
		{
			"endpoints are full", func(w *fixture) { w.setMode(shard.ModeReject, "a0", "a1") }, "/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "code: 210", "a: a", "rejected"},
		},
		{
			"no endpoint is registered", func(w *fixture) {
				for _, id := range []string{"a0", "a1"} {
					w.store.Put("servers/"+id, w.endpoints[id].Registration("draining"))
				}
				w.await(func() bool { return len(w.gateway.views.Load().Endpoints["a"]) == 0 })
			}, "/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "code: 209", "endpoint registered", "leaving: true"},
		},
		{
			"an endpoint loses its answers", func(w *fixture) { w.setMode(shard.ModeDrop, "a0", "a1") }, "/once/x", "r1", "r1", 502,
			stream.ExitOK,
			[]string{"request not answered", "code: 301", "lost", "endpoint set aside"},
		},
		{
			"an endpoint knows nothing of it", func(w *fixture) { w.setMode(shard.ModeAbsent, "a0", "a1") }, "/one/x", "r1", "r1", 404,
			stream.ExitOK,
			[]string{"request answered with an endpoint's failure", "status: 404"},
		},
		{
			"the VM was killed with the request", func(*fixture) {}, "/one/x", "r1", "r2", 200, stream.ExitNegative, nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newFixture(t).start()
			tt.do(w)
			assert.Equal(t, w.request("GET", tt.path, tt.id, "").status, tt.status)
			var out bytes.Buffer
			err := explain.Run(&explain.Options{
				Streams: stream.Streams{In: strings.NewReader(w.log.String()), Out: &out}, ID: tt.asked,
			})
			assert.Equal(t, stream.ExitCodeOf(err), tt.code)
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), text), "%q is not in\n%s", text, out.String())
			}
		})
	}
}
