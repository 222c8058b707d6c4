package endpoint

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
)

// cannedReply is what the bare server of the benchmark answers with.
const cannedReply = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nX-Request: r\r\nX-Shard: s\r\nX-Snapshot: 1\r\n\r\n01234567890123456789"

// startMinimalServer answers every request with the same bytes and allocates nothing on the way, so that the client's allocations
// are all that is counted.
func startMinimalServer(b *testing.B) unit.Address {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveMinimal(c)
		}
	}()
	return unit.Address(l.Addr().String())
}

// serveMinimal reads requests with a body of 8 bytes.
func serveMinimal(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	answer := []byte(cannedReply)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > 2 {
			continue
		}
		if _, err := r.Discard(8); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkLeafCall measures one leaf call over a warm connection.
func BenchmarkLeafCall(b *testing.B) {
	client := New(time.Now, 3)
	defer func() { _ = client.Close() }()
	call := Call{
		Query:    fanout.Query{ID: "r", Rank: "desk", Body: []byte(strings.Repeat("x", 8))},
		Attempt:  fanout.Attempt{ID: 1, Shard: "s", Endpoint: "e", Snapshot: 1},
		Address:  startMinimalServer(b),
		MaxConns: 3,
	}
	b.ReportAllocs()
	for b.Loop() {
		call.Query.Deadline = time.Now().Add(time.Minute)
		if reply := client.Send(context.Background(), call); reply.Code != unit.CodeWhole {
			b.Fatalf("code %d", reply.Code)
		}
	}
}
