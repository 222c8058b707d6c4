package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/stream"
)

const testdata = "../../policy/replay/testdata/"

func TestRun(t *testing.T) {
	content, err := os.ReadFile(testdata + "cut-after-run.jsonl")
	assert.NilError(t, err)
	good := string(content)
	bad := strings.Replace(good, `"endpoint":"s0b"`, `"endpoint":"s0a"`, 1)
	tests := []struct {
		name string
		text string
		json bool
		code stream.ExitCode
		want string
	}{
		{"the same outcomes", good, false, stream.ExitOK, "0 differences"},
		{"another outcome", bad, false, stream.ExitNegative, "first difference: line "},
		{"another outcome as JSON", bad, true, stream.ExitNegative, `"expected"`},
		{"no end record", strings.Replace(good, `{"kind":"end","at":0}`+"\n", "", 1), false, stream.ExitOK, "it is incomplete"},
		{"no outcome", `{"kind":"trace","version":1}` + "\n", false, stream.ExitNegative, "it is incomplete"},
		{"not a trace", "hello", false, stream.ExitUsage, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(context.Background(), &Options{
				Streams: stream.Streams{Out: &out},
				File:    "trace",
				JSON:    tt.json,
				Open:    func(string) (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(tt.text)), nil },
			})
			assert.Equal(t, stream.ExitCodeOf(err), tt.code)
			assert.Assert(t, strings.Contains(out.String(), tt.want), out.String())
			if tt.json {
				var w wireResult
				assert.NilError(t, json.Unmarshal(out.Bytes(), &w))
				assert.Equal(t, w.Differences[0].Expected == w.Differences[0].Got, false)
			}
		})
	}
}

func TestCommandNeedsOneFile(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code stream.ExitCode
	}{
		{"none", []string{"replay"}, stream.ExitUsage},
		{"two", []string{"replay", "a", "b"}, stream.ExitUsage},
		{"one", []string{"replay", testdata + "whole.jsonl"}, stream.ExitOK},
		{"a missing file", []string{"replay", "none.jsonl"}, stream.ExitUsage},
		{"an empty standard input", []string{"replay", "-"}, stream.ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := New(stream.Streams{In: strings.NewReader(""), Out: &out, Err: &out}, nil)
			err := cmd.Run(context.Background(), tt.args)
			assert.Equal(t, stream.ExitCodeOf(err), tt.code)
		})
	}
}
