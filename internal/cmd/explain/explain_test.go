package explain

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/stream"
)

// testLogs are those of two VMs.
var testLogs = map[string]string{
	"e1.log": `  12.5 e1 {"time":"2026-01-01T12:00:02Z","level":"WARN","msg":"request not answered","node":"e1","id":"r1","code":306,"missing":["s1: i-1 first@0.1ms lost;","s2: i-2 first@0.1ms open;"]}
{"time":"2026-01-01T12:00:01Z","level":"WARN","msg":"registry lost","node":"e1","error":"down"}
{"time":"2026-01-01T11:59:01Z","level":"INFO","msg":"endpoints listed","node":"e1"}
no JSON
{"time":"2026-01-01T12:00:03Z","level":"INFO","msg":"request answered","node":"e1","id":"other"}`,
	"e2.log": `{"time":"2026-01-01T12:00:01Z","level":"INFO","msg":"registry regained","node":"e2"}`,
}

func TestRun(t *testing.T) {
	tests := []struct {
		name string
		id   string
		json bool
		want string
		code stream.ExitCode
	}{
		{
			"a request with what came before it", "r1", false,
			"12:00:01.000 e1: registry lost\n    error: down\n12:00:02.000 e1: request not answered\n    code: 306\n" +
				"    missing:\n      s1: i-1 first@0.1ms lost;\n      s2: i-2 first@0.1ms open;\n",
			stream.ExitOK,
		},
		{
			"as it was logged", "other", true,
			`{"time":"2026-01-01T12:00:01Z","level":"WARN","msg":"registry lost","node":"e1","error":"down"}` + "\n" +
				`{"time":"2026-01-01T12:00:03Z","level":"INFO","msg":"request answered","node":"e1","id":"other"}` + "\n",
			stream.ExitOK,
		},
		{"no such request", "r9", false, "", stream.ExitNegative},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			opts := &Options{
				Streams: stream.Streams{Out: &out}, ID: tt.id, JSON: tt.json, Files: []string{"e1.log", "e2.log"},
				Open: func(name string) (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(testLogs[name])), nil },
			}
			assert.Equal(t, stream.ExitCodeOf(Run(opts)), tt.code)
			assert.Equal(t, out.String(), tt.want)
		})
	}
}

// TestRunFaults checks that a log that cannot be read is no negative finding.
func TestRunFaults(t *testing.T) {
	tests := []struct {
		name string
		open func(string) (io.ReadCloser, error)
	}{
		{"no such file", func(string) (io.ReadCloser, error) { return nil, errors.New("no such file") }},
		{"a broken file", func(string) (io.ReadCloser, error) {
			return io.NopCloser(io.MultiReader(strings.NewReader("x"), failingReader{})), nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			opts := &Options{Streams: stream.Streams{Out: io.Discard}, ID: "r1", Files: []string{"x"}, Open: tt.open}
			assert.Equal(t, stream.ExitCodeOf(Run(opts)), stream.ExitFailed)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("broken") }
