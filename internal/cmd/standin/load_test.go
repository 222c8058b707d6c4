package standin

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/cmd/stream"
)

func TestLoadParsesFlows(t *testing.T) {
	tests := []struct {
		name  string
		flows []string
		code  stream.ExitCode
		text  string
	}{
		{"one flow", []string{"find,desk,1,1s"}, stream.ExitOK, "find"},
		{"two flows, one of them once", []string{"find,desk,1,1s", "order,desk,1,1s,once"}, stream.ExitOK, "order"},
		{"too few fields", []string{"find,desk"}, stream.ExitUsage, "SEARCH,RANK,RATE,TIMEOUT"},
		{"no rate", []string{"find,desk,x,1s"}, stream.ExitUsage, "rate"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			args := []string{"standin", "load", "--entry", "127.0.0.1:1", "--duration", "1s"}
			for _, f := range tt.flows {
				args = append(args, "--flow", f)
			}
			code := Main(context.Background(), stream.Streams{Out: &out, Err: &out}, args)
			assert.Equal(t, code, tt.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), tt.text), out.String())
		})
	}
}
