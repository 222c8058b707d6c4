package peer

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// wireEcho is the parameter and the result of the test methods.
type wireEcho struct {
	Text string `json:"text"`
}

// BenchmarkCalls makes six concurrent calls to a peer, as a query to 40 leaves through seven entry VMs does.
func BenchmarkCalls(b *testing.B) {
	server, client := New("127.0.0.1:0"), New("127.0.0.1:0")
	Handle(server, "echo", func(_ context.Context, w wireEcho) (wireEcho, error) { return w, nil })
	assert.NilError(b, server.start(context.Background()))
	assert.NilError(b, client.start(context.Background()))
	b.ReportAllocs()
	for b.Loop() {
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				var reply wireEcho
				_ = client.Call(context.Background(), server.Address(), "echo", wireEcho{Text: "abc"}, &reply)
			})
		}
		wg.Wait()
	}
	b.StopTimer()
	assert.NilError(b, client.close())
	assert.NilError(b, server.close())
}
