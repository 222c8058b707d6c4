package serve

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/ownership"
)

// TestSettingsPrecedence checks the order of precedence of settings: flag, environment variable, file, default.
func TestSettingsPrecedence(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	content := `{"node": "file", "centre": "file", "platform": "127.0.0.1:1", "peers": ["127.0.0.1:2"], "lag": "1s"}`
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	t.Setenv("BASILSPAN_CENTRE", "env")
	t.Setenv("BASILSPAN_NODE", "env")
	t.Setenv("BASILSPAN_LOG_JSON", "true")
	tests := []struct {
		name string
		args []string
		want process.Settings
		code stream.ExitCode
	}{
		{
			"flag, environment, file, default",
			[]string{"--settings", file, "--node", "flag"},
			process.Settings{
				Node: "flag", Centre: "env", Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Peer: "127.0.0.1:8082",
				Platform: "127.0.0.1:1", Peers: []unit.Address{"127.0.0.1:2"}, Lag: 1e9, Route: ownership.ModeOwner, LogJSON: true,
			},
			stream.ExitOK,
		},
		{"a missing file", []string{"--settings", file + "x"}, process.Settings{}, stream.ExitUsage},
		{"a missing setting", nil, process.Settings{}, stream.ExitUsage},
		{"an invalid flag", []string{"--settings", file, "--caller", "localhost"}, process.Settings{}, stream.ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got process.Settings
			var out bytes.Buffer
			cmd := New(stream.Streams{Out: &out, Err: &out}, func(_ context.Context, opts *Options) error {
				got = opts.Settings
				return nil
			})
			cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
			err := cmd.Run(context.Background(), append([]string{"serve"}, tt.args...))
			assert.Equal(t, stream.ExitCodeOf(err), tt.code, "%v", err)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestRunUntilStopped checks that Run starts an entry VM without a reachable platform, and returns after a signal or
// with an error if it cannot listen.
func TestRunUntilStopped(t *testing.T) {
	tests := []struct {
		name   string
		caller unit.Address
		fails  bool
	}{
		{"a planned stop", "127.0.0.1:0", false},
		{"a listen address of another host", "192.0.2.1:1", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			stopped := func(context.Context) (context.Context, context.CancelFunc) {
				cancel()
				return ctx, cancel
			}
			var out bytes.Buffer
			opts := &Options{
				Streams: stream.Streams{Out: &out, Err: &out}, Now: time.Now, StopContext: stopped,
				Settings: process.Settings{
					Node: "e1", Centre: "amman", Caller: tt.caller, Operator: "127.0.0.1:0", Peer: "127.0.0.1:0",
					Platform: "127.0.0.1:1",
				},
			}
			err := Run(context.Background(), opts)
			assert.Equal(t, err != nil, tt.fails, "%v", err)
			if tt.fails {
				assert.Equal(t, stream.ExitCodeOf(errors.Wrap(err, "serve")), stream.ExitFailed)
			}
		})
	}
}
