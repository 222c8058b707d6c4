package peer

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// benchPayload is a message between peers with a text of some size.
type benchPayload struct {
	Text string `json:"text"`
}

// BenchmarkCall measures one call and its answer between two peers, both ends together.
func BenchmarkCall(b *testing.B) {
	tests := []struct {
		name string
		size int
	}{
		{"100 bytes", 100},
		{"1,000 bytes", 1000},
		{"10,000 bytes", 10_000},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			ctx := context.Background()
			server, client := New("127.0.0.1:0"), New("127.0.0.1:0")
			Handle(server, "bench", func(_ context.Context, p benchPayload) (int, error) { return len(p.Text), nil })
			assert.NilError(b, server.start(ctx))
			defer func() { _ = server.close() }()
			assert.NilError(b, client.start(ctx))
			defer func() { _ = client.close() }()
			payload := benchPayload{Text: strings.Repeat("x", tt.size)}
			b.ReportAllocs()
			for b.Loop() {
				var n int
				assert.NilError(b, client.Call(ctx, server.Address(), "bench", payload, &n))
				assert.Equal(b, n, tt.size)
			}
		})
	}
}
