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

// TestExplain causes each request failure that the operators' page describes, and checks that the explain command finds
// the cause in the log by the request id, as the page says.
func TestExplain(t *testing.T) {
	tests := []struct {
		name  string
		setup func(f *fixture)
		path  string
		// id is the id of the request, and lookup the id that is passed to explain.
		id, lookup string
		status     int
		code       stream.ExitCode
		want       []string
	}{
		{
			"a response without a slow shard", func(f *fixture) { f.setMode(shard.ModeHang, "c0", "c1") },
			"/all/x", "r1", "r1", 200,
			stream.ExitOK,
			[]string{"request answered in part", "code: 101", "c: c", "first@", "open"},
		},
		{
			"endpoints are full", func(f *fixture) { f.setMode(shard.ModeReject, "a0", "a1") },
			"/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "code: 210", "a: a", "rejected"},
		},
		{
			"endpoints turn requests away", func(f *fixture) {
				f.endpoints["a0"].TurnAway("30")
				f.endpoints["a1"].TurnAway("30")
			}, "/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "code: 210", "endpoint turned requests away", "retry_after_ms: 30000"},
		},
		{
			"an endpoint has said that it is leaving", func(f *fixture) {
				f.endpoints["a0"].SetLeaving(true)
				f.endpoints["a1"].SetLeaving(true)
				f.setMode(shard.ModeReject, "a0", "a1")
			}, "/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "endpoint leaving", "endpoint: a"},
		},
		{
			"no endpoint is registered", func(f *fixture) {
				for _, id := range []string{"a0", "a1"} {
					f.store.Put("servers/"+id, f.endpoints[id].Registration("draining"))
				}
				f.await(func() bool { return len(f.gateway.views.Load().Endpoints["a"]) == 0 })
			}, "/one/x", "r1", "r1", 503,
			stream.ExitOK,
			[]string{"request not answered", "code: 209", "endpoint registered", "leaving: true"},
		},
		{
			"an endpoint loses its responses", func(f *fixture) { f.setMode(shard.ModeDrop, "a0", "a1") },
			"/once/x", "r1", "r1", 502,
			stream.ExitOK,
			[]string{"request not answered", "code: 301", "lost", "endpoint set aside"},
		},
		{
			"an endpoint responds with not found", func(f *fixture) { f.setMode(shard.ModeAbsent, "a0", "a1") },
			"/one/x", "r1", "r1", 404,
			stream.ExitOK,
			[]string{"request answered with an endpoint's failure", "status: 404"},
		},
		{
			"no log line, as the VM was killed during the request", func(*fixture) {},
			"/one/x", "r1", "r2", 200, stream.ExitNegative, nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			tt.setup(f)
			assert.Equal(t, f.request("GET", tt.path, tt.id, "").status, tt.status)
			var out bytes.Buffer
			err := explain.Run(&explain.Options{
				Streams: stream.Streams{In: strings.NewReader(f.log.String()), Out: &out}, ID: tt.lookup,
			})
			assert.Equal(t, stream.ExitCodeOf(err), tt.code)
			for _, text := range tt.want {
				assert.Assert(t, strings.Contains(out.String(), text), "%q is not in\n%s", text, out.String())
			}
		})
	}
}
